package org.ragworthook.core.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IntSummaryStatistics;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragworthook.core.fleet.Instance;
import org.ragworthook.core.fleet.Role;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link SubsetSelector}.
 */
class SubsetSelectorTests {

	private static Map<Instance, Set<Instance>> subsets(List<Instance> entries, List<Instance> sidecars) {
		Map<Instance, Set<Instance>> subsets = new HashMap<>();
		entries.forEach((entry) -> subsets.put(entry, SubsetSelector.defaults().of(entry, entries, sidecars)));
		return subsets;
	}

	/**
	 * A failure domain is lost with all its entries. A sidecar that only those entries
	 * were linked to would get no more requests, and one without any link would never get
	 * any.
	 */
	@ParameterizedTest
	@CsvSource({ "3, 13, 3", "3, 100, 3", "40, 1375, 4", "2, 200, 4", "7, 300, 1" })
	void shouldCoverEverySidecar(int entries, int sidecars, int domains) {
		List<Instance> all = Fleet.instances(Role.SIDECAR, sidecars, domains);
		Map<Instance, Set<Instance>> subsets = subsets(Fleet.instances(Role.ENTRY, entries, domains), all);
		int minLinks = Math.min(entries, 3);
		for (Instance sidecar : all) {
			long links = subsets.values().stream().filter((subset) -> subset.contains(sidecar)).count();
			assertThat(links).isAtLeast(minLinks);
			if (domains > 1 && entries >= domains) {
				long remote = subsets.entrySet()
					.stream()
					.filter((entry) -> entry.getValue().contains(sidecar)
							&& !entry.getKey().failureDomain().equals(sidecar.failureDomain()))
					.count();
				assertThat(remote).isAtLeast(1);
			}
		}
	}

	@Test
	void shouldSelectSmallSubsetsOfSimilarSize() {
		Map<Instance, Set<Instance>> subsets = subsets(Fleet.instances(Role.ENTRY, 40, 4),
				Fleet.instances(Role.SIDECAR, 1_375, 4));
		IntSummaryStatistics sizes = subsets.values().stream().mapToInt(Set::size).summaryStatistics();
		assertThat(sizes.getMax()).isLessThan(180);
		assertThat(sizes.getMin()).isGreaterThan(95);
	}

	@Test
	void shouldChangeLittleWhenInstanceIsRemoved() {
		List<Instance> entries = new ArrayList<>(Fleet.instances(Role.ENTRY, 40, 4));
		List<Instance> sidecars = new ArrayList<>(Fleet.instances(Role.SIDECAR, 1_375, 4));
		Instance self = entries.get(0);
		Set<Instance> before = SubsetSelector.defaults().of(self, entries, sidecars);
		Instance removedSidecar = sidecars.remove(8);
		Set<Instance> withoutSidecar = new HashSet<>(before);
		withoutSidecar.remove(removedSidecar);
		assertThat(SubsetSelector.defaults().of(self, entries, sidecars)).isEqualTo(withoutSidecar);
		entries.remove(4);
		Set<Instance> withoutEntry = SubsetSelector.defaults().of(self, entries, sidecars);
		assertThat(withoutEntry).containsAtLeastElementsIn(withoutSidecar);
		assertThat(withoutEntry.size() - withoutSidecar.size()).isAtMost(30);
	}

	@Test
	void shouldNotDependOnListOrder() {
		List<Instance> entries = Fleet.instances(Role.ENTRY, 10, 2);
		List<Instance> sidecars = new ArrayList<>(Fleet.instances(Role.SIDECAR, 100, 2));
		Set<Instance> before = SubsetSelector.defaults().of(entries.get(3), entries, sidecars);
		Collections.reverse(sidecars);
		assertThat(SubsetSelector.defaults().of(entries.get(3), entries, sidecars)).isEqualTo(before);
	}

	@Test
	void shouldGiveEveryEntryMinimumNumberOfSidecars() {
		List<Instance> entries = Fleet.instances(Role.ENTRY, 300, 30);
		List<Instance> sidecars = Fleet.instances(Role.SIDECAR, 40, 2);
		subsets(entries, sidecars).values().forEach((subset) -> assertThat(subset.size()).isAtLeast(8));
	}

}
