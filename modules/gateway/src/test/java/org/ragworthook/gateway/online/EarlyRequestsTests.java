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
 * All entries of a deployment are killed together and start again. Callers reach each of
 * them a moment before it knows its configuration.
 */
class EarlyRequestsTests {

	private final ManualTime time = ManualTime.of();

	private final List<String> log = new ArrayList<>();

	private boolean storeAnswers = true;

	private final EarlyRequests early = new EarlyRequests(this.time, () -> this.storeAnswers);

	private boolean admit(String id) {
		return this.early.admit(() -> this.log.add("served " + id), () -> this.log.add("refused " + id));
	}

	@ParameterizedTest
	@ValueSource(longs = { 0, 400, 990 })
	void shouldServeInOrderOnceThereIsAConfiguration(long afterMillis) {
		admit("a");
		admit("b");
		this.time.advance(Duration.ofMillis(afterMillis));
		assertThat(this.log).isEmpty();
		this.early.configured();
		assertThat(this.log).containsExactly("served a", "served b").inOrder();
		this.time.advance(EarlyRequests.MOST.multipliedBy(2));
		assertThat(this.log).hasSize(2);
	}

	@Test
	void shouldRefuseWhatHasWaitedLong() {
		admit("a");
		this.time.advance(Duration.ofMillis(600));
		admit("b");
		this.time.advance(Duration.ofMillis(500));
		assertThat(this.log).containsExactly("refused a");
		this.early.configured();
		assertThat(this.log).containsExactly("refused a", "served b").inOrder();
	}

	/**
	 * The entries start while the store is down, for a minute perhaps. A caller that is
	 * told at once goes elsewhere in time; one that waits a second has lost it.
	 */
	@Test
	void shouldNotLetWaitWhileTheStoreDoesNotAnswer() {
		this.storeAnswers = false;
		assertThat(admit("a")).isFalse();
		assertThat(this.log).isEmpty();
	}

	@Test
	void shouldHoldABoundedNumber() {
		for (int i = 0; i < EarlyRequests.LIMIT; i++) {
			assertThat(admit("r" + i)).isTrue();
		}
		assertThat(admit("one too many")).isFalse();
		this.early.configured();
		assertThat(this.log).hasSize(EarlyRequests.LIMIT);
	}

}
