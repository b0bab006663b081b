CONFIG ?= config.json

.PHONY: build test lint run check
build:
	cargo build --release --locked --workspace
test:
	cargo test --locked --workspace
lint:
	cargo fmt --all -- --check
	cargo clippy --locked --workspace --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --no-deps --lib --quiet
run: build
	BALANCER_CONFIG=$(CONFIG) target/release/linentrail
check:
	.ci/run
