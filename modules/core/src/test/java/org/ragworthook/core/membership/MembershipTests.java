package org.ragworthook.core.membership;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.fleet.FailureDomain;
import org.ragworthook.core.fleet.Instance;
import org.ragworthook.core.fleet.Role;
import org.ragworthook.core.time.ManualTime;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link Membership}.
 */
class MembershipTests {

	private final ManualTime time = ManualTime.of();

	private final Membership membership = Membership.of(this.time);

	private final Instance first = instance("first", false);

	private final Instance second = instance("second", false);

	private static Instance instance(String id, boolean leaving) {
		return new Instance(id, Role.SIDECAR, "desk", FailureDomain.of("region", "domain"),
				new Address("127.0.0.1", 7_000), leaving);
	}

	private List<Instance> routable() {
		return this.membership.members().routable();
	}

	private List<Instance> wanted() {
		return this.membership.members().wanted();
	}

	@Test
	void shouldRouteOnlyToLinked() {
		this.membership.listed(List.of(this.first, this.second));
		this.membership.linked(this.first);
		assertThat(routable()).containsExactly(this.first);
		assertThat(wanted()).containsExactly(this.first, this.second);
	}

	/**
	 * A sidecar is told to stop and says so, while the list goes on showing it as live
	 * and drops it and shows it again. Work sent to it now would fail when it exits.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 5 })
	void shouldNotReadmitInstanceThatSaidItLeaves(int flaps) {
		this.membership.listed(List.of(this.first));
		this.membership.linked(this.first);
		this.membership.leaving("first");
		assertThat(routable()).isEmpty();
		for (int i = 0; i < flaps; i++) {
			this.membership.listed(List.of());
			this.time.advance(Duration.ofMinutes(10));
			this.membership.listed(List.of(this.first));
			this.membership.linked(this.first);
			assertThat(routable()).isEmpty();
			assertThat(wanted()).isEmpty();
		}
	}

	/**
	 * The list loses an instance for a while, or all of them, though they serve. Dropping
	 * them would turn a fault of the list into an outage.
	 */
	@Test
	void shouldKeepLinkedInstanceThatListLost() {
		this.membership.listed(List.of(this.first));
		this.membership.linked(this.first);
		this.membership.listed(List.of());
		assertThat(routable()).containsExactly(this.first);
	}

	/**
	 * An instance is lost without a word, and the list goes on showing it for minutes.
	 */
	@Test
	void shouldNotRouteOverLostLink() {
		this.membership.listed(List.of(this.first));
		this.membership.linked(this.first);
		this.membership.lost("first");
		assertThat(routable()).isEmpty();
		assertThat(wanted()).containsExactly(this.first);
		this.membership.linked(this.first);
		assertThat(routable()).containsExactly(this.first);
	}

	@Test
	void shouldForgetLostInstanceOnceUnlisted() {
		this.membership.listed(List.of(this.first));
		this.membership.linked(this.first);
		this.membership.lost("first");
		this.membership.listed(List.of());
		assertThat(wanted()).isEmpty();
	}

	@Test
	void shouldNotRouteToInstanceThatListShowsAsLeaving() {
		this.membership.linked(this.first);
		this.membership.listed(List.of(instance("first", true)));
		assertThat(routable()).isEmpty();
	}

	@Test
	void shouldNotRouteToInstanceThatGreetsAsLeaving() {
		this.membership.listed(List.of(this.first));
		this.membership.linked(instance("first", true));
		assertThat(routable()).isEmpty();
	}

	@Test
	void shouldTakeNextRunForAnotherInstance() {
		this.membership.linked(this.first);
		this.membership.leaving("first");
		Instance nextRun = instance("first-run-2", false);
		this.membership.listed(List.of(nextRun));
		this.membership.linked(nextRun);
		assertThat(routable()).containsExactly(nextRun);
	}

}
