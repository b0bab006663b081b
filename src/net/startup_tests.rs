//! Clients that wait for a front which is not ready yet, in virtual time.

use super::*;

#[test]
fn waiting_clients_get_the_front_when_it_is_ready_and_none_after_the_timeout() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("a runtime").block_on(async {
        let (opener, gate) = gate();
        assert_eq!(gate.clone().wait_open().await, None);
        let waits = tokio::spawn(gate.clone().wait_open());
        tokio::time::sleep(MAX_STARTUP_WAIT / 2).await;
        opener.open(Arc::new(7));
        assert_eq!(waits.await.expect("it ends"), Some(Arc::new(7)));
        assert_eq!(gate.wait_open().await, Some(Arc::new(7)));
    });
}
