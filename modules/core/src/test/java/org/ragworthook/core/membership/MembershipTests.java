package org.ragworthook.core.membership;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.fleet.FailureDomain;
import org.ragworthook.core.fleet.Instance;
import org.ragworthook.core.fleet.Role;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link Membership}.
 */
class MembershipTests {

	private final Membership membership = Membership.empty();

	private final Instance first = instance("first", 7_001, false);

	private final Instance second = instance("second", 7_002, false);

	private static Instance instance(String id, int port, boolean leaving) {
		return new Instance(id, Role.SIDECAR, "desk", FailureDomain.of("region", "domain"),
				new Address("127.0.0.1", port), leaving);
	}

	private List<Instance> routable() {
		return this.membership.members().routable();
	}

	private List<Instance> wanted() {
		return this.membership.members().linkTargets();
	}

	@Test
	void shouldRouteOnlyToLinked() {
		this.membership.instancesListed(List.of(this.first, this.second));
		this.membership.linkOpened(this.first, "run-1", false);
		assertThat(routable()).containsExactly(this.first);
		assertThat(wanted()).containsExactly(this.first, this.second);
	}

	/**
	 * A sidecar is told to stop and says so, while the list goes on showing it as live
	 * and drops it and shows it again. Work sent to it now would fail when it exits.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 5 })
	void shouldNotReadmitRunThatSaidItLeaves(int flaps) {
		this.membership.instancesListed(List.of(this.first));
		this.membership.linkOpened(this.first, "run-1", false);
		this.membership.drainAnnounced(this.first.link(), "run-1");
		assertThat(routable()).isEmpty();
		for (int i = 0; i < flaps; i++) {
			this.membership.instancesListed(List.of());
			this.membership.instancesListed(List.of(this.first));
			assertThat(routable()).isEmpty();
			this.membership.linkLost(this.first.link());
			this.membership.linkOpened(this.first, "run-1", false);
			assertThat(routable()).isEmpty();
		}
	}

	/**
	 * The list loses an instance for a while, or all of them, though they serve. Dropping
	 * them would turn a fault of the list into an outage.
	 */
	@Test
	void shouldKeepLinkedInstanceThatListLost() {
		this.membership.instancesListed(List.of(this.first));
		this.membership.linkOpened(this.first, "run-1", false);
		this.membership.instancesListed(List.of());
		assertThat(routable()).containsExactly(this.first);
		assertThat(wanted()).containsExactly(this.first);
	}

	/**
	 * An instance is lost without a word, and the list goes on showing it for minutes.
	 */
	@Test
	void shouldNotRouteOverLostLink() {
		this.membership.instancesListed(List.of(this.first));
		this.membership.linkOpened(this.first, "run-1", false);
		this.membership.linkLost(this.first.link());
		assertThat(routable()).isEmpty();
		assertThat(wanted()).containsExactly(this.first);
		this.membership.linkOpened(this.first, "run-1", false);
		assertThat(routable()).containsExactly(this.first);
	}

	@Test
	void shouldForgetLostInstanceOnceUnlisted() {
		this.membership.instancesListed(List.of(this.first));
		this.membership.linkOpened(this.first, "run-1", false);
		this.membership.linkLost(this.first.link());
		this.membership.instancesListed(List.of());
		assertThat(wanted()).isEmpty();
	}

	@Test
	void shouldNotRouteToInstanceThatListShowsAsLeaving() {
		this.membership.linkOpened(this.first, "run-1", false);
		this.membership.instancesListed(List.of(instance("first", 7_001, true)));
		assertThat(routable()).isEmpty();
	}

	@Test
	void shouldNotRouteToRunThatGreetsAsLeaving() {
		this.membership.instancesListed(List.of(this.first));
		this.membership.linkOpened(this.first, "run-1", true);
		assertThat(routable()).isEmpty();
	}

	/**
	 * A process is replaced by its next run at the same address, which the list does not
	 * tell apart. The new run must get work although the old one said that it leaves.
	 */
	@Test
	void shouldRouteToNextRunAtSameAddress() {
		this.membership.instancesListed(List.of(this.first));
		this.membership.linkOpened(this.first, "run-1", false);
		this.membership.drainAnnounced(this.first.link(), "run-1");
		this.membership.linkLost(this.first.link());
		assertThat(wanted()).containsExactly(this.first);
		this.membership.linkOpened(this.first, "run-2", false);
		assertThat(routable()).containsExactly(this.first);
	}

}
