//! The files of the folder while they cannot be read.

use super::*;

fn folder(name: &str) -> HandoverFolder {
    let path = std::env::temp_dir().join(format!("linentrail-handover-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    HandoverFolder::join(path, 3).expect("fine").expect("a slot")
}

/// A core that does whatever it is asked and knows of nobody out.
async fn agrees(mut orders: mpsc::Receiver<CoreCommand>) {
    while let Some(order) = orders.recv().await {
        match order {
            CoreCommand::Suspend(_, reply) => drop(reply.send(Ok(()))),
            CoreCommand::QuerySuspensions(reply) => drop(reply.send(Suspensions::default())),
            CoreCommand::ReplaceSuspensions(_, reply) => drop(reply.send(())),
            _ => panic!("not asked here"),
        }
    }
}

/// It may say what this process has not heard of yet.
#[test]
fn what_the_operators_said_is_not_written_over_where_it_cannot_be_read() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let folder = Arc::new(folder("unread"));
        let hands = folder.path_of(HANDS);
        // A link to itself cannot be read, and another file can take its place.
        std::os::unix::fs::symlink(&hands, &hands).expect("a link");
        let (orders, ordered) = mpsc::channel(4);
        tokio::spawn(agrees(ordered));
        let control = ControlHandle::new(orders, SharedFolder::joined(folder.clone()));
        let change = || control.change_suspension("a", |reply| CoreCommand::Suspend("a".into(), reply));
        let refused = change().await.expect_err("it cannot be recorded");
        assert!(refused.starts_with("the call cannot be recorded"), "{refused}");
        assert!(std::fs::symlink_metadata(&hands).expect("there").is_symlink(), "it was written over");
        std::fs::remove_file(&hands).expect("it was there");
        change().await.expect("it can be recorded");
        let _ = std::fs::remove_dir_all(folder.path_of(""));
    });
}
