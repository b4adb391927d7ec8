package org.ragworthook.standin.capacity;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.ragworthook.core.lease.Lease;
import org.ragworthook.core.lease.ShardLeases;
import org.ragworthook.core.lease.ShardListener;
import org.ragworthook.core.store.MemoryObjectStore;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.time.ManualTime;

/**
 * The calls to the store that keep leases, by shards or by entries.
 */
final class LeasePart implements Part {

	private static final int FEW_ENTRIES = 3;

	private static final int FEW_SHARDS = 32;

	private static final int SECONDS = 60;

	private final boolean byShards;

	private LeasePart(boolean byShards) {
		this.byShards = byShards;
	}

	static LeasePart byShards() {
		return new LeasePart(true);
	}

	static LeasePart byEntries() {
		return new LeasePart(false);
	}

	@Override
	public String name() {
		return this.byShards ? "leases-shards" : "leases-entries";
	}

	@Override
	public String counted() {
		return this.byShards ? "shards" : "entries";
	}

	@Override
	public List<Integer> sizes() {
		return this.byShards ? List.of(32, 128, 512) : List.of(3, 40, 320);
	}

	@Override
	public List<Quantity> measure(int size) {
		int shards = this.byShards ? size : FEW_SHARDS;
		int entries = this.byShards ? FEW_ENTRIES : size;
		CountingStore store = new CountingStore(MemoryObjectStore.empty());
		ManualTime time = ManualTime.of();
		Set<String> names = new TreeSet<>(IntStream.range(0, entries).mapToObj((number) -> "entry-" + number).toList());
		names.forEach((name) -> start(store, time, names, name, shards));
		advance(time);
		store.reset();
		advance(time);
		return List.of(new Quantity("writes a second", store.writes() / (double) SECONDS),
				new Quantity("reads and lists a second", store.reads() / (double) SECONDS));
	}

	private static void start(CountingStore store, ManualTime time, Set<String> entries, String self, int shards) {
		ShardLeases.builder(store, Stamps.of(self))
			.time(time, time)
			.listener(new Idle())
			.entries(() -> entries)
			.shards("bench", shards)
			.build()
			.start();
	}

	private static void advance(ManualTime time) {
		IntStream.range(0, SECONDS).forEach((second) -> time.advance(Duration.ofSeconds(1)));
	}

	/**
	 * Has no work on its shards.
	 */
	private static final class Idle implements ShardListener {

		@Override
		public void acquired(int shard, Lease lease) {
		}

		@Override
		public void lost(int shard, Lease lease) {
		}

		@Override
		public CompletableFuture<Void> releasing(int shard, Lease lease) {
			return CompletableFuture.completedFuture(null);
		}

	}

}
