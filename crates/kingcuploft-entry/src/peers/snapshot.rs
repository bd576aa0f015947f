//! Takes a snapshot of what another VM knows, without following it.

use std::rc::Rc;

use kingcuploft::entry::vm_entry::VmEntry;
use tokio::io::AsyncWriteExt;

use super::dial::Dial;
use super::follower::{CONNECT_TIMEOUT, apply, apply_part, hello, next_frame, open_link};
use super::frame::{Frame, Hello, SyncStatus};
use super::lines::Lines;
use super::link_error::LinkError;
use super::transfer::Transfer;
use crate::context::Context;
use crate::store::Collection;

/// Takes over what another VM knows of the collections that this one lacks, without following it.
///
/// # Errors
///
/// Returns an error if the link fails, if that VM lacks something too, or if it knows less than this one of a collection.
pub(crate) async fn take(
    context: &Rc<Context>,
    own: &VmEntry,
    from: &VmEntry,
    network: &impl Dial,
) -> Result<(), LinkError> {
    let stream = open_link(from, network, CONNECT_TIMEOUT).await?;
    let (read, mut write) = tokio::io::split(stream);
    let request = Frame::SnapshotRequest(Hello {
        configuration: context.position(Collection::Configuration),
        servers: context.position(Collection::BackendServers),
        evacuations: context.position(Collection::Evacuations),
        ..hello(context, own)
    });
    write.write_all(&request.to_line()).await?;
    let mut lines = Lines::new(read);
    let mut transfer = Transfer::default();
    let mut status = None;
    loop {
        match next_frame(&mut lines).await?.ok_or(LinkError::Closed)? {
            Frame::Wait => return Err(LinkError::Behind),
            Frame::Status(told) => {
                if is_behind(context, &told) {
                    return Err(LinkError::Behind);
                }
                status = Some(told);
            }
            Frame::SnapshotEnd => {
                let told = status.ok_or(LinkError::Closed)?;
                adopt(context, &told);
                return Ok(());
            }
            Frame::Part(part) => {
                transfer.add_line(&lines);
                apply_part(context, *part, &mut transfer)?;
            }
            frame if is_wanted(context, &frame) => apply(context, frame)?,
            _ => {}
        }
    }
}

fn lacks(context: &Context, collection: Collection) -> bool {
    context.whole_position(collection).is_none()
}

/// Returns whether a VM knows less than this one of a collection of which this one knows a part: it would undo what this one
/// knows.
fn is_behind(context: &Context, told: &SyncStatus) -> bool {
    let mut all = Collection::ROUTED_BY.into_iter();
    all.any(|collection| {
        lacks(context, collection) && told.position(collection) < context.position(collection)
    })
}

/// Returns whether a frame tells something of a collection that this VM lacks.
fn is_wanted(context: &Context, frame: &Frame) -> bool {
    match frame {
        Frame::Server(_)
        | Frame::Servers(_)
        | Frame::ServerGone(_)
        | Frame::ServersGone(_)
        | Frame::AllServers(_)
        | Frame::ServersListed => lacks(context, Collection::BackendServers),
        Frame::Evacuations(_) => lacks(context, Collection::Evacuations),
        Frame::Notices(_) | Frame::AllNotices(_) => lacks(context, Collection::Notices),
        _ => true,
    }
}

/// Adopts a VM's revisions of the collections that this one has lacked.
fn adopt(context: &Context, told: &SyncStatus) {
    for collection in Collection::ROUTED_BY {
        let revision = told
            .position(collection)
            .filter(|_| lacks(context, collection));
        if let Some(revision) = revision {
            context.note_complete(collection);
            context.set_position(collection, revision);
        }
    }
}
