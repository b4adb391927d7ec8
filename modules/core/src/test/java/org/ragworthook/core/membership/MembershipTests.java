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

	private List<Instance> linkTargets() {
		return this.membership.members().linkTargets();
	}

	@Test
	void shouldRouteOnlyToLinked() {
		this.membership.instancesListed(List.of(this.first, this.second));
		this.membership.linkOpened(this.first, "run-1", false);
		assertThat(routable()).containsExactly(this.first);
		assertThat(linkTargets()).containsExactly(this.first, this.second);
	}

	/**
	 * A sidecar announces that it is draining, while the list still shows it as live,
	 * drops it and lists it again. Work sent to it would fail when it exits.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 5 })
	void shouldNotReadmitDrainingRun(int flaps) {
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
	 * The list temporarily omits instances that are still serving. Dropping them would
	 * turn a fault of the list into an outage.
	 */
	@Test
	void shouldKeepLinkedInstanceThatIsNotListed() {
		this.membership.instancesListed(List.of(this.first));
		this.membership.linkOpened(this.first, "run-1", false);
		this.membership.instancesListed(List.of());
		assertThat(routable()).containsExactly(this.first);
		assertThat(linkTargets()).containsExactly(this.first);
	}

	/**
	 * An instance disappears without notice, and the list shows it for minutes.
	 */
	@Test
	void shouldNotRouteOverLostLink() {
		this.membership.instancesListed(List.of(this.first));
		this.membership.linkOpened(this.first, "run-1", false);
		this.membership.linkLost(this.first.link());
		assertThat(routable()).isEmpty();
		assertThat(linkTargets()).containsExactly(this.first);
		this.membership.linkOpened(this.first, "run-1", false);
		assertThat(routable()).containsExactly(this.first);
	}

	@Test
	void shouldRemoveDisconnectedInstanceOnceUnlisted() {
		this.membership.instancesListed(List.of(this.first));
		this.membership.linkOpened(this.first, "run-1", false);
		this.membership.linkLost(this.first.link());
		this.membership.instancesListed(List.of());
		assertThat(linkTargets()).isEmpty();
	}

	@Test
	void shouldNotRouteToInstanceListedAsLeaving() {
		this.membership.linkOpened(this.first, "run-1", false);
		this.membership.instancesListed(List.of(instance("first", 7_001, true)));
		assertThat(routable()).isEmpty();
	}

	@Test
	void shouldNotRouteToRunThatConnectsAsDraining() {
		this.membership.instancesListed(List.of(this.first));
		this.membership.linkOpened(this.first, "run-1", true);
		assertThat(routable()).isEmpty();
	}

	/**
	 * A process is replaced by a new one at the same address, which the list does not
	 * distinguish. The new process must get work although the old one was draining.
	 */
	@Test
	void shouldRouteToNewRunAtSameAddress() {
		this.membership.instancesListed(List.of(this.first));
		this.membership.linkOpened(this.first, "run-1", false);
		this.membership.drainAnnounced(this.first.link(), "run-1");
		this.membership.linkLost(this.first.link());
		assertThat(linkTargets()).containsExactly(this.first);
		this.membership.linkOpened(this.first, "run-2", false);
		assertThat(routable()).containsExactly(this.first);
	}

}
