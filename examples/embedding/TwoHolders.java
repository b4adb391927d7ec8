import java.time.Duration;

import org.ragworthook.core.lease.LeaseKeeper;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.MemoryObjectStore;
import org.ragworthook.core.store.ObjectKey;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.store.Stored;
import org.ragworthook.core.time.ManualTime;

/**
 * The core embedded in another program: two workers, one lease, one record. The first is
 * paused and wakes up after the second has taken over; its late write has no effect.
 * <p>
 * Run it from the root of the project, after a build:
 * {@code java -cp "modules/core/target/classes:modules/daemon/target/lib/*" examples/embedding/TwoHolders.java}
 */
public class TwoHolders {

	private static final Duration PERIOD = Duration.ofSeconds(3);

	/**
	 * Runs the example.
	 * @param arguments not used
	 */
	public static void main(String[] arguments) {
		MemoryObjectStore store = MemoryObjectStore.empty();
		ManualTime time = ManualTime.of();
		LeaseKeeper first = keeper(store, time, "first");
		LeaseKeeper second = keeper(store, time, "second");
		first.refresh().join();
		System.out.println("first takes:  epoch " + first.acquire().join().orElseThrow().epoch());
		Stored record = writer(store, "first").create(key(), "made by epoch 1", Labels.empty()).join();

		second.refresh().join();
		System.out
			.println("second takes: " + second.acquire().join().map((lease) -> "epoch " + lease.epoch()).orElse("no"));
		time.advance(PERIOD);
		System.out.println("first, paused for a period, holds: " + first.held().isPresent());
		System.out.println("second takes: epoch " + second.acquire().join().orElseThrow().epoch());

		writer(store, "second").update(record, "rewritten by epoch 2").join();
		boolean late = writer(store, "first").update(record, "late result of epoch 1")
			.handle((stored, failure) -> failure == null)
			.join();
		System.out.println("first's late write took effect: " + late);
		System.out.println("the record: " + store.read(key()).join().orElseThrow().text());
	}

	private static LeaseKeeper keeper(MemoryObjectStore store, ManualTime time, String holder) {
		return LeaseKeeper.builder(store, Stamps.of(holder), time).period(PERIOD).build("example");
	}

	private static ConditionalWriter writer(MemoryObjectStore store, String name) {
		return ConditionalWriter.of(store, Stamps.of(name + "-writer"));
	}

	private static ObjectKey key() {
		return ObjectKey.of(Kind.STATUS, "example");
	}

}
