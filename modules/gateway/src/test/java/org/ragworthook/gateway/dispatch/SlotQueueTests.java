package org.ragworthook.gateway.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragworthook.gateway.upstream.PrefixAffinity;

import static com.google.common.truth.Truth.assertThat;

class SlotQueueTests {

	private static final long NOW = 1_000;

	private final SlotQueue line = new SlotQueue();

	private final List<Long> served = new ArrayList<>();

	private static SlotRequest request(long number, long goal) {
		return new SlotRequest("e1", number, "r", "svc", "d1", Set.of(), PrefixAffinity.none(), NOW, goal);
	}

	private void drain(int slots) {
		this.line.drain(NOW, (request) -> this.served.size() < slots && this.served.add(request.number()));
	}

	/**
	 * More callers come than there are slots, and some have waited past their goal.
	 * Served in order of arrival they make those late who could still be in time.
	 */
	@Test
	void shouldServeFirstWhoCanBeInTime() {
		this.line.add(request(1, NOW - 500));
		this.line.add(request(2, NOW + 200));
		this.line.add(request(3, NOW + 100));
		drain(2);
		assertThat(this.served).containsExactly(3L, 2L).inOrder();
		assertThat(this.line.size()).isEqualTo(1);
	}

	/**
	 * Callers who can be in time keep coming for minutes. The late ones are served now
	 * and then, the one that waits longest first, instead of never.
	 */
	@Test
	void shouldNotKeepLateOnesOutForever() {
		this.line.add(request(1, NOW - 400));
		this.line.add(request(2, NOW - 500));
		for (long i = 10; i < 18; i++) {
			this.line.add(request(i, NOW + i));
		}
		drain(8);
		assertThat(this.served).containsExactly(10L, 11L, 12L, 2L, 13L, 14L, 15L, 1L).inOrder();
	}

	/**
	 * The first in line was turned away by the only upstream with a slot free. Those
	 * behind it must not wait for it.
	 */
	@Test
	void shouldLookPastWhoFindsNoSlot() {
		this.line.add(request(1, NOW + 100));
		this.line.add(request(2, NOW + 200));
		this.line.drain(NOW, (request) -> request.number() != 1 && this.served.add(request.number()));
		assertThat(this.served).containsExactly(2L);
		assertThat(this.line.size()).isEqualTo(1);
	}

	@ParameterizedTest
	@CsvSource({ "e1, 1, 1", "e2, 1, 2", "e1, 2, 2" })
	void shouldKeepARequestOnce(String entry, long number, int size) {
		this.line.add(request(1, NOW));
		this.line.add(new SlotRequest(entry, number, "r", "svc", "d1", Set.of(), PrefixAffinity.none(), NOW, NOW));
		assertThat(this.line.size()).isEqualTo(size);
	}

}
