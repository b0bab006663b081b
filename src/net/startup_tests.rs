use super::*;

#[test]
fn whoever_waits_gets_the_front_once_it_is_there_and_none_where_that_takes_long() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("a runtime").block_on(async {
        let (opener, gate) = gate();
        assert_eq!(gate.clone().passed().await, None);
        let waits = tokio::spawn(gate.clone().passed());
        tokio::time::sleep(STARTING_GRACE / 2).await;
        opener.open(Arc::new(7));
        assert_eq!(waits.await.expect("it ends"), Some(Arc::new(7)));
        assert_eq!(gate.passed().await, Some(Arc::new(7)));
    });
}
