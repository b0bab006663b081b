CONFIG ?= config.json
# Parts of their length that the runs of `make cost` have.
SHORT ?= 1

.PHONY: build test lint run check demo cost meter soak
build:
	cargo build --release --locked --workspace
# The tests that KNOWN-RED.txt lists, by their full names, fail for a fault that is known: they are printed, and passed over.
KNOWN_RED = $(shell sed 's/,.*//; s/^/--skip /' KNOWN-RED.txt 2>/dev/null)
test:
	@[ ! -s KNOWN-RED.txt ] || { echo 'Known to fail, and passed over:'; cat KNOWN-RED.txt; }
	.ci/known-red
	cargo test --locked --workspace -- --exact $(KNOWN_RED)
lint:
	cargo fmt --all -- --check
	cargo clippy --locked --workspace --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --no-deps --lib --quiet
run: build
	BALANCER_CONFIG=$(CONFIG) target/release/linentrail
demo:
	cargo build --release --locked --workspace
	target/release/linentrail-lab demo
# A build that counts, in a folder of its own: the one in service never does.
meter:
	cargo build --release --locked --features meter --target-dir target/meter
cost: meter
	cargo build --release --locked -p linentrail-lab
	target/release/linentrail-lab cost --program target/meter/release/linentrail --budgets crates/lab/budgets.toml --short $(SHORT)
# A short soak with fixed seeds: many processes whose system calls fail. Judged by orders and counts alone.
soak:
	cargo build --release --locked --workspace
	target/release/linentrail-lab soak --seed 1 --count 4 --jobs 2 --patient --whole
check:
	.ci/run
