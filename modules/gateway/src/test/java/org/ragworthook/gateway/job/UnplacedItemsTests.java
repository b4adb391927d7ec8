package org.ragworthook.gateway.job;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.time.ManualTime;
import org.ragworthook.gateway.upstream.SoftwareVersion;
import org.ragworthook.gateway.upstream.UpstreamDescriptor;
import org.ragworthook.gateway.upstream.UpstreamRegistry;
import org.ragworthook.gateway.upstream.WorkClass;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against items that wait although upstreams have room and leave no line that
 * tells why.
 */
class UnplacedItemsTests {

	private final ManualTime time = ManualTime.of();

	private final UpstreamRegistry upstreams = UpstreamRegistry.empty();

	private final UnplacedItems items = new UnplacedItems(this.upstreams, this.time);

	private final ItemRun run = run();

	private static ItemRun run() {
		JobItem item = new JobItem("item", "/p", Map.of(), "", 1);
		return new ItemRun(new Job("job", Optional.empty(), "h", "/p", 0, 1, 1, 0, 1, false, List.of(item)), item);
	}

	@BeforeEach
	void start() {
		this.upstreams.put(new UpstreamDescriptor("u", "svc", new Address("127.0.0.1", 1), "a", 8, false,
				SoftwareVersion.of("v1")));
	}

	/**
	 * Returns when the item is logged while time passes.
	 * @param duration the time that passes
	 * @return the milliseconds from the start of the test to each line
	 */
	private List<Long> logged(Duration duration) {
		List<Long> millis = new ArrayList<>();
		long end = this.time.nanos() + duration.toNanos();
		while (this.time.nanos() < end) {
			this.time.advance(Duration.ofMillis(100));
			if (this.items.update(List.of(this.run)).contains(this.run)) {
				millis.add(this.time.nanos() / 1_000_000);
			}
		}
		return millis;
	}

	@Test
	void shouldLogAWaitingItemEveryTwoSeconds() {
		assertThat(logged(Duration.ofSeconds(5))).containsExactly(2_100L, 4_100L);
	}

	/** While most slots are in use, items wait for a slot as intended. */
	@Test
	void shouldNotLogItemsThatWaitForASlot() {
		for (int i = 0; i < 4; i++) {
			this.upstreams.serving("svc").get(0).begin(WorkClass.ONLINE);
		}
		assertThat(logged(Duration.ofSeconds(10))).isEmpty();
		this.upstreams.serving("svc").get(0).end(WorkClass.ONLINE);
		assertThat(logged(Duration.ofSeconds(3))).containsExactly(12_100L);
	}

}
