//! Recording suspensions while the shared file cannot be read.

use super::*;

fn folder(name: &str) -> HandoverFolder {
    let path = std::env::temp_dir().join(format!("linentrail-handover-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    HandoverFolder::join(path, 3).expect("fine").expect("a slot")
}

/// A core that accepts every command and reports no suspensions.
async fn accepting_core(mut commands: mpsc::Receiver<CoreCommand>) {
    while let Some(command) = commands.recv().await {
        match command {
            CoreCommand::Suspend(_, reply) => drop(reply.send(Ok(()))),
            CoreCommand::QuerySuspensions(reply) => drop(reply.send(Suspensions::default())),
            CoreCommand::ReplaceSuspensions(_, reply) => drop(reply.send(())),
            _ => panic!("unexpected command"),
        }
    }
}

/// A file that cannot be read may hold suspensions that this process does not know of yet.
#[test]
fn suspensions_that_cannot_be_read_are_not_overwritten() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let folder = Arc::new(folder("unread"));
        let path = folder.path_of(SUSPENSIONS_FILE);
        // A link to itself cannot be read, but can be replaced by a file.
        std::os::unix::fs::symlink(&path, &path).expect("a link");
        let (commands, received) = mpsc::channel(4);
        tokio::spawn(accepting_core(received));
        let control = ControlHandle::new(commands, SharedFolder::joined(folder.clone()));
        let change = || control.change_suspension("a", |reply| CoreCommand::Suspend("a".into(), reply));
        let refused = change().await.expect_err("it cannot be recorded");
        assert!(refused.starts_with("the call cannot be recorded"), "{refused}");
        assert!(std::fs::symlink_metadata(&path).expect("there").is_symlink(), "the file was overwritten");
        std::fs::remove_file(&path).expect("it was there");
        change().await.expect("it can be recorded");
        let _ = std::fs::remove_dir_all(folder.path_of(""));
    });
}
