package org.ragworthook.gateway.online;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.time.ManualTime;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against rejected requests after a common restart: all entries accept callers a
 * moment before they have read their configuration.
 */
class StartupQueueTests {

	private final ManualTime time = ManualTime.of();

	private final List<String> log = new ArrayList<>();

	private boolean storeUp = true;

	private final StartupQueue queue = new StartupQueue(this.time, () -> this.storeUp);

	private boolean offer(String id) {
		return this.queue.offer(() -> this.log.add("served " + id), () -> this.log.add("rejected " + id));
	}

	@ParameterizedTest
	@ValueSource(longs = { 0, 400, 990 })
	void shouldServeInOrderOnceConfigured(long afterMillis) {
		offer("a");
		offer("b");
		this.time.advance(Duration.ofMillis(afterMillis));
		assertThat(this.log).isEmpty();
		this.queue.configurationAvailable();
		assertThat(this.log).containsExactly("served a", "served b").inOrder();
		this.time.advance(StartupQueue.MAX_WAIT.multipliedBy(2));
		assertThat(this.log).hasSize(2);
	}

	@Test
	void shouldRejectAfterTheMaximumWait() {
		offer("a");
		this.time.advance(Duration.ofMillis(600));
		offer("b");
		this.time.advance(Duration.ofMillis(500));
		assertThat(this.log).containsExactly("rejected a");
		this.queue.configurationAvailable();
		assertThat(this.log).containsExactly("rejected a", "served b").inOrder();
	}

	/**
	 * Guards against holding requests while the store is down, perhaps for a minute: a
	 * caller that is rejected at once can still try another entry, one that waits a
	 * second may be too late.
	 */
	@Test
	void shouldNotQueueWhileTheStoreIsDown() {
		this.storeUp = false;
		assertThat(offer("a")).isFalse();
		assertThat(this.log).isEmpty();
	}

	@Test
	void shouldQueueUpToItsCapacity() {
		for (int i = 0; i < StartupQueue.CAPACITY; i++) {
			assertThat(offer("r" + i)).isTrue();
		}
		assertThat(offer("one too many")).isFalse();
		this.queue.configurationAvailable();
		assertThat(this.log).hasSize(StartupQueue.CAPACITY);
	}

}
