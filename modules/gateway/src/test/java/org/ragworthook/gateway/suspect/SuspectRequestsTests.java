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
class SuspectRequestsTests {

	private final ManualTime time = ManualTime.of();

	private final SuspectRequests suspects = SuspectRequests.none(this.time);

	private static long fingerprint(String host, String uri, String body) {
		return SuspectRequests.fingerprint(host, uri, body.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * A request crashes each upstream that runs it and is sent again to other entries.
	 * Each entry has seen fewer crashes than it takes, together they have seen enough.
	 */
	@Test
	void shouldRefuseAfterThreeBreaksAtAnyEntry() {
		this.suspects.broke(7);
		this.suspects.broke(7);
		assertThat(this.suspects.refused(7)).isFalse();
		this.suspects.peers(Map.of(7L, 1));
		assertThat(this.suspects.refused(7)).isTrue();
		assertThat(this.suspects.refused(8)).isFalse();
	}

	@Test
	void shouldForgetAfterAWhile() {
		this.suspects.broke(7);
		this.suspects.broke(7);
		this.suspects.broke(7);
		assertThat(this.suspects.own()).containsExactly(7L, 3);
		this.time.advance(Duration.ofSeconds(121));
		assertThat(this.suspects.refused(7)).isFalse();
		assertThat(this.suspects.own()).isEmpty();
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
