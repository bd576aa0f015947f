//! Text from outside on its way out: names that are drawn reach each syntax as one value, or are refused.

mod drawn;
mod heads;
mod lines;
mod messages;
mod metrics;
mod notices;
