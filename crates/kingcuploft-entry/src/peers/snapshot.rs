//! Takes a snapshot of what another VM knows, without following it.

use std::rc::Rc;

use kingcuploft::entry::vm_entry::VmEntry;
use tokio::io::AsyncWriteExt;

use super::dial::Dial;
use super::follower::{adopt_positions, apply, apply_part, hello, next_frame, open_link};
use super::frame::Frame;
use super::lines::Lines;
use super::link_error::LinkError;
use super::transfer::Transfer;
use crate::context::Context;

/// Takes over what another VM knows, without following it.
///
/// # Errors
///
/// Returns an error if the link fails, or if that VM lacks something too.
pub(crate) async fn take(
    context: &Rc<Context>,
    own: &VmEntry,
    from: &VmEntry,
    network: &impl Dial,
) -> Result<(), LinkError> {
    let stream = open_link(context, from, network).await?;
    let (read, mut write) = tokio::io::split(stream);
    let request = Frame::SnapshotRequest(hello(context, own));
    write.write_all(&request.to_line()).await?;
    let mut lines = Lines::new(read);
    let mut transfer = Transfer::default();
    let mut status = None;
    loop {
        match next_frame(&mut lines).await?.ok_or(LinkError::Closed)? {
            Frame::Wait => return Err(LinkError::Behind),
            Frame::Status(told) => status = Some(told),
            Frame::SnapshotEnd => {
                let told = status.ok_or(LinkError::Closed)?;
                adopt_positions(context, &told);
                return Ok(());
            }
            Frame::Part(part) => {
                transfer.add_line(&lines);
                apply_part(context, *part, &mut transfer)?;
            }
            frame => apply(context, frame)?,
        }
    }
}
