//! Draws texts such as names may be, and runs properties over them.

use std::cell::Cell;

use arbtest::arbitrary::{Result, Unstructured};

/// The environment variable with the number of inputs of each property, for runs by hand; without it each runs for a second.
const INPUTS_VARIABLE: &str = "OUTSIDE_TEXT_INPUTS";

/// The most bytes from which an input is drawn: enough for the longest one.
const MAX_ENTROPY_BYTES: u32 = 512;

/// How long a property is searched at a time, in milliseconds.
const BUDGET_MS: u64 = 1000;

/// The length in bytes of a text that fills an object of the store.
const OBJECT_BYTES: usize = 1 << 20;

/// One in so many texts is as long as an object.
const LONG_ONE_IN: u32 = 4096;

/// Pieces that mean something in one of the syntaxes, or to a terminal.
const PIECES: [&str; 40] = [
    "%",
    "%41",
    "%0d%0a",
    "&",
    "+",
    "=",
    "?",
    "#",
    "/",
    "..",
    ".",
    " ",
    "\t",
    "\r",
    "\n",
    "\r\n",
    "\r\n\r\nGET /x HTTP/1.1\r\n",
    "\0",
    "\"",
    "\\",
    "\\n",
    "'",
    "{",
    "}",
    ",",
    ":",
    ";",
    "\u{7f}",
    "\u{1b}[31m",
    "\u{85}",
    "\u{9b}2J",
    "é",
    "🦀",
    "\u{2028}",
    "\u{2029}",
    "\u{202e}",
    "\u{feff}",
    "\u{fdd0}",
    "\u{fffd}",
    "a",
];

/// Draws a text: of such pieces and of any characters, and now and then as long as an object.
pub(crate) fn text(u: &mut Unstructured<'_>) -> Result<String> {
    let mut text = String::new();
    for _ in 0..u.int_in_range(0..=6)? {
        match u.ratio(1, 4)? {
            true => text += u.arbitrary::<&str>()?,
            false => text += u.choose(&PIECES)?,
        }
    }
    if u.ratio(1, LONG_ONE_IN)? {
        text = text.repeat(OBJECT_BYTES / text.len().max(1));
    }
    Ok(text)
}

/// Checks a property over drawn inputs.
pub(crate) fn check(name: &str, property: impl Fn(&mut Unstructured<'_>) -> Result<()>) {
    let wanted = std::env::var(INPUTS_VARIABLE).ok();
    let wanted: u64 = wanted.map_or(0, |count| count.parse().expect("a number of inputs"));
    let inputs = Cell::new(0_u64);
    loop {
        arbtest::arbtest(|u| {
            property(u)?;
            inputs.set(inputs.get() + 1);
            Ok(())
        })
        .budget_ms(BUDGET_MS)
        .size_max(MAX_ENTROPY_BYTES)
        .run();
        if inputs.get() >= wanted {
            break;
        }
    }
    println!("{name}: {} inputs", inputs.get());
}
