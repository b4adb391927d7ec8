package org.ragworthook.core.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.time.ManualTime;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link Router}.
 */
class RouterTests {

	private static final RouteRequest ANY_MODEL = RouteRequest.of("", OptionalLong.empty());

	private final ManualTime time = ManualTime.of();

	private final Random random = new Random(17);

	private final Router router = Router.of(this.time, () -> this.random, 1.25);

	private void update(List<Upstream> upstreams) {
		this.router.update(RouteTable.of(Fleet.domain(0), upstreams));
	}

	private Choice choose(RouteRequest request) {
		return this.router.choose(request).orElseThrow();
	}

	@Test
	void shouldChooseNothingWithoutUpstreams() {
		assertThat(this.router.choose(ANY_MODEL)).isEqualTo(Optional.empty());
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 13, 200 })
	void shouldSpreadEvenly(int count) {
		List<Upstream> upstreams = Fleet.upstreams(count, 1);
		update(upstreams);
		for (int i = 0; i < count * 10; i++) {
			choose(ANY_MODEL);
		}
		int most = upstreams.stream().mapToInt(Upstream::outstanding).max().getAsInt();
		int least = upstreams.stream().mapToInt(Upstream::outstanding).min().getAsInt();
		assertThat(most - least).isAtMost((count <= 16) ? 1 : 6);
	}

	@Test
	void shouldNotCountOwnRequestsInReportedLoad() {
		List<Upstream> upstreams = Fleet.upstreams(2, 1);
		update(upstreams);
		upstreams.get(0).loadReported(9, 16);
		for (int i = 0; i < 9; i++) {
			assertThat(choose(ANY_MODEL).upstream()).isEqualTo(upstreams.get(1));
		}
		upstreams.get(1).loadReported(9, 16);
		assertThat(upstreams.get(1).load()).isEqualTo(9);
	}

	@Test
	void shouldStayInOwnFailureDomainUntilItIsFull() {
		List<Upstream> upstreams = Fleet.upstreams(4, 2);
		update(upstreams);
		upstreams.forEach((upstream) -> upstream.loadReported(0, 3));
		for (int i = 0; i < 6; i++) {
			Choice choice = choose(ANY_MODEL);
			assertThat(choice.upstream().instance().failureDomain()).isEqualTo(Fleet.domain(0));
		}
		assertThat(choose(ANY_MODEL).reason()).isEqualTo(Choice.Reason.OTHER_DOMAIN);
	}

	@Test
	void shouldSendSamePrefixToSameUpstream() {
		update(Fleet.upstreams(13, 1));
		RouteRequest request = RouteRequest.of("", OptionalLong.of(42));
		Upstream first = choose(request).upstream();
		assertThat(first.outstanding()).isEqualTo(1);
		Choice other = choose(ANY_MODEL);
		other.release(Choice.Outcome.SUCCESS);
		for (int i = 0; i < 10; i++) {
			Choice choice = choose(RouteRequest.of("", OptionalLong.of(1_000 + i)));
			choice.release(Choice.Outcome.SUCCESS);
		}
		assertThat(first.outstanding()).isEqualTo(1);
	}

	/**
	 * All callers share one long system prompt. Without a load bound a single upstream
	 * would get all requests, and they would queue there while the other engines are
	 * idle.
	 */
	@Test
	void shouldBoundLoadOfPopularPrefix() {
		List<Upstream> upstreams = Fleet.upstreams(10, 1);
		update(upstreams);
		RouteRequest popular = RouteRequest.of("", OptionalLong.of(7));
		for (int i = 0; i < 100; i++) {
			choose(popular);
		}
		assertThat(upstreams.stream().mapToInt(Upstream::outstanding).max().getAsInt()).isAtMost(14);
	}

	@Test
	void shouldMoveFewPrefixesWhenUpstreamIsRemoved() {
		List<Upstream> upstreams = new ArrayList<>(Fleet.upstreams(20, 1));
		Map<Integer, Upstream> before = upstreamByPrompt(upstreams);
		upstreams.remove(3);
		Map<Integer, Upstream> after = upstreamByPrompt(upstreams);
		long moved = before.keySet().stream().filter((key) -> before.get(key) != after.get(key)).count();
		assertThat(moved).isAtMost(1_000 * 2 / 20);
	}

	private Map<Integer, Upstream> upstreamByPrompt(List<Upstream> upstreams) {
		update(upstreams);
		Map<Integer, Upstream> upstreamByPrompt = new HashMap<>();
		for (int i = 0; i < 1_000; i++) {
			Choice choice = choose(RouteRequest.of("", OptionalLong.of(Hashing.of("prompt " + i))));
			upstreamByPrompt.put(i, choice.upstream());
			choice.release(Choice.Outcome.SUCCESS);
		}
		return upstreamByPrompt;
	}

	/**
	 * An upstream fails every request immediately and therefore always looks idle.
	 * Without ejection it would attract most requests.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 4, 40 })
	void shouldEjectFailingUpstreamAndReadmitItGradually(int count) {
		List<Upstream> upstreams = Fleet.upstreams(count, 1);
		update(upstreams);
		Upstream failing = upstreams.get(1);
		for (int i = 0; i < count * 50; i++) {
			Choice choice = choose(ANY_MODEL);
			choice.release((choice.upstream() == failing) ? Choice.Outcome.FAILURE : Choice.Outcome.SUCCESS);
		}
		assertThat(failing.detector().share(this.time.nanos())).isEqualTo(0.0);
		this.time.advance(Duration.ofMillis(1_001));
		assertThat(failing.detector().share(this.time.nanos())).isWithin(0.01).of(0.1);
		this.time.advance(Duration.ofSeconds(5));
		assertThat(failing.detector().share(this.time.nanos())).isEqualTo(OutlierDetector.FULL_SHARE);
	}

	/**
	 * All upstreams fail for a while, for example during a network outage. If all were
	 * excluded, callers would still be refused after the network has recovered.
	 */
	@Test
	void shouldStillChooseWhenAllAreEjected() {
		update(Fleet.upstreams(5, 1));
		for (int i = 0; i < 60; i++) {
			choose(ANY_MODEL).release(Choice.Outcome.FAILURE);
		}
		assertThat(this.router.choose(ANY_MODEL).isPresent()).isTrue();
	}

	@ParameterizedTest
	@ValueSource(ints = { 3, 40 })
	void shouldNeverChooseTriedUpstream(int count) {
		List<Upstream> upstreams = Fleet.upstreams(count, 1);
		update(upstreams);
		Set<Upstream> tried = new HashSet<>();
		for (int i = 0; i < count; i++) {
			Choice choice = choose(RouteRequest.of("", OptionalLong.of(5)).without(Set.copyOf(tried)));
			assertThat(tried.add(choice.upstream())).isTrue();
		}
		assertThat(this.router.choose(ANY_MODEL.without(tried))).isEqualTo(Optional.empty());
	}

	@Test
	void shouldChooseOnlyUpstreamsThatHaveTheModel() {
		List<Upstream> upstreams = Fleet.upstreams(6, 1);
		upstreams.forEach((upstream) -> upstream.modelsReported(Set.of("small")));
		upstreams.get(4).modelsReported(Set.of("small", "large"));
		update(upstreams);
		for (int i = 0; i < 20; i++) {
			assertThat(choose(RouteRequest.of("large", OptionalLong.of(i))).upstream()).isEqualTo(upstreams.get(4));
		}
	}

	/**
	 * An upstream answers that it has not loaded a model that the others have. Selected
	 * again, it would refuse its share of all requests for the model.
	 */
	@Test
	void shouldAvoidUpstreamWithMissingModelForLimitedTime() {
		List<Upstream> upstreams = Fleet.upstreams(2, 1);
		update(upstreams);
		upstreams.get(0).modelMissing("large", Duration.ofSeconds(2).toNanos());
		for (int i = 0; i < 20; i++) {
			assertThat(choose(RouteRequest.of("large", OptionalLong.empty())).upstream()).isEqualTo(upstreams.get(1));
		}
		assertThat(choose(ANY_MODEL).upstream()).isEqualTo(upstreams.get(0));
		this.time.advance(Duration.ofSeconds(2));
		assertThat(choose(RouteRequest.of("large", OptionalLong.empty())).upstream()).isEqualTo(upstreams.get(0));
	}

	@Test
	void shouldIgnoreSecondRelease() {
		List<Upstream> upstreams = Fleet.upstreams(1, 1);
		update(upstreams);
		Choice choice = choose(ANY_MODEL);
		choice.release(Choice.Outcome.SUCCESS);
		choice.release(Choice.Outcome.SUCCESS);
		assertThat(upstreams.get(0).outstanding()).isEqualTo(0);
	}

	@Test
	void shouldKeepCountsWhenTableChanges() {
		List<Upstream> upstreams = new ArrayList<>(Fleet.upstreams(3, 1));
		update(upstreams);
		Choice choice = choose(ANY_MODEL);
		Collections.reverse(upstreams);
		update(upstreams);
		assertThat(choice.upstream().outstanding()).isEqualTo(1);
		choice.release(Choice.Outcome.UNKNOWN);
		assertThat(choice.upstream().outstanding()).isEqualTo(0);
	}

}
