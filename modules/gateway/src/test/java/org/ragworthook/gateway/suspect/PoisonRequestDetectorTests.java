package org.ragworthook.gateway.suspect;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.ragworthook.core.time.ManualTime;

import static com.google.common.truth.Truth.assertThat;

/** Tests the detection of requests that crash the upstreams that run them. */
class PoisonRequestDetectorTests {

	private final ManualTime time = ManualTime.of();

	private final PoisonRequestDetector detector = PoisonRequestDetector.empty(this.time);

	private static long fingerprint(String host, String uri, String body) {
		return PoisonRequestDetector.fingerprint(host, uri, body.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Guards against a poison request that is retried at other entries: each entry has
	 * seen fewer crashes than the threshold, but together they have seen enough.
	 */
	@Test
	void shouldRefuseAfterThreeConnectionLossesAcrossEntries() {
		this.detector.recordConnectionLoss(7);
		this.detector.recordConnectionLoss(7);
		assertThat(this.detector.refused(7)).isFalse();
		this.detector.updatePeerCounts(Map.of(7L, 1));
		assertThat(this.detector.refused(7)).isTrue();
		assertThat(this.detector.refused(8)).isFalse();
	}

	@Test
	void shouldForgetExpiredConnectionLosses() {
		this.detector.recordConnectionLoss(7);
		this.detector.recordConnectionLoss(7);
		this.detector.recordConnectionLoss(7);
		assertThat(this.detector.ownCounts()).containsExactly(7L, 3);
		this.time.advance(Duration.ofSeconds(121));
		assertThat(this.detector.refused(7)).isFalse();
		assertThat(this.detector.ownCounts()).isEmpty();
	}

	@Test
	void shouldDistinguishRequestsByHostPathAndBody() {
		long one = fingerprint("h", "/a", "b");
		assertThat(fingerprint("h", "/a", "b")).isEqualTo(one);
		assertThat(fingerprint("i", "/a", "b")).isNotEqualTo(one);
		assertThat(fingerprint("h", "/ab", "")).isNotEqualTo(one);
		assertThat(fingerprint("h", "/a", "c")).isNotEqualTo(one);
	}

}
