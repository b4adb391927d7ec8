package org.ragworthook.gateway.suspect;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.ragworthook.core.time.ManualTime;

import static com.google.common.truth.Truth.assertThat;

/**
 * Requests that crash the upstreams that run them.
 */
class PoisonRequestDetectorTests {

	private final ManualTime time = ManualTime.of();

	private final PoisonRequestDetector suspects = PoisonRequestDetector.empty(this.time);

	private static long fingerprint(String host, String uri, String body) {
		return PoisonRequestDetector.fingerprint(host, uri, body.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * A request crashes each upstream that runs it and is sent again to other entries.
	 * Each entry has seen fewer crashes than it takes, together they have seen enough.
	 */
	@Test
	void shouldRefuseAfterThreeBreaksAtAnyEntry() {
		this.suspects.recordConnectionLoss(7);
		this.suspects.recordConnectionLoss(7);
		assertThat(this.suspects.refused(7)).isFalse();
		this.suspects.updatePeerCounts(Map.of(7L, 1));
		assertThat(this.suspects.refused(7)).isTrue();
		assertThat(this.suspects.refused(8)).isFalse();
	}

	@Test
	void shouldForgetAfterAWhile() {
		this.suspects.recordConnectionLoss(7);
		this.suspects.recordConnectionLoss(7);
		this.suspects.recordConnectionLoss(7);
		assertThat(this.suspects.ownCounts()).containsExactly(7L, 3);
		this.time.advance(Duration.ofSeconds(121));
		assertThat(this.suspects.refused(7)).isFalse();
		assertThat(this.suspects.ownCounts()).isEmpty();
	}

	@Test
	void shouldTellRequestsApartByHostPathAndBody() {
		long one = fingerprint("h", "/a", "b");
		assertThat(fingerprint("h", "/a", "b")).isEqualTo(one);
		assertThat(fingerprint("i", "/a", "b")).isNotEqualTo(one);
		assertThat(fingerprint("h", "/ab", "")).isNotEqualTo(one);
		assertThat(fingerprint("h", "/a", "c")).isNotEqualTo(one);
	}

}
