//! The metrics of entry VMs, fetched from the addresses at which they are served.

use std::time::Duration;

use ureq::Agent;

/// How long a VM may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// The prefix of all metrics of an entry VM.
const PREFIX: &str = "kingcuploft_entry_";

/// What one VM answered: its metrics, or why there are none.
pub type Fetched = (String, Result<Vec<Sample>, String>);

/// One value of a metric.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// The metric's name, without the prefix.
    pub name: String,
    /// Its labels, in their order.
    pub labels: Vec<(String, String)>,
    /// Its value.
    pub value: f64,
}

impl Sample {
    /// Returns the value of a label.
    pub fn label(&self, name: &str) -> Option<&str> {
        let found = self.labels.iter().find(|(label, _)| label == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Fetches the metrics of VMs.
pub fn fetch_all(addresses: &[String]) -> Vec<Fetched> {
    let config = Agent::config_builder().timeout_global(Some(ANSWER_TIMEOUT));
    let agent: Agent = config.build().into();
    let fetched = addresses.iter().map(|address| {
        let text = fetch(&agent, address);
        (address.clone(), text.map(|text| parse(&text)))
    });
    fetched.collect()
}

fn fetch(agent: &Agent, address: &str) -> Result<String, String> {
    let url = format!("http://{address}/metrics");
    let answer = agent.get(&url).call();
    let answer = answer.and_then(|mut answer| answer.body_mut().read_to_string());
    answer.map_err(|error| error.to_string())
}

/// Parses metrics in the text format of Prometheus; lines that are none are left out.
pub fn parse(text: &str) -> Vec<Sample> {
    text.lines().filter_map(parse_line).collect()
}

fn parse_line(line: &str) -> Option<Sample> {
    let line = line.strip_prefix(PREFIX)?;
    let (name, value) = line.rsplit_once(' ')?;
    let (name, labels) = match name.split_once('{') {
        Some((name, labels)) => (name, labels.strip_suffix('}')?),
        None => (name, ""),
    };
    let labels = labels.split(',').filter_map(|label| {
        let (name, value) = label.split_once('=')?;
        Some((name.to_owned(), value.trim_matches('"').to_owned()))
    });
    Some(Sample {
        name: name.to_owned(),
        labels: labels.collect(),
        value: value.parse().ok()?,
    })
}
