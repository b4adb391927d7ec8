package org.ragworthook.gateway.peer;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * The assignment of jobs to the processes that run them.
 */
class RendezvousOwnersTests {

	private static final int JOBS = 3_000;

	private static List<String> owners(String job, List<String> runners) {
		List<String> owners = new ArrayList<>();
		for (String runner : runners) {
			if (RendezvousOwners.of(runner, () -> runners).ownedHere(job)) {
				owners.add(runner);
			}
		}
		return owners;
	}

	@Test
	void shouldAssignEachJobToOneProcessAndSpreadThem() {
		List<String> runners = List.of("storage-a-1", "storage-b-1", "storage-c-1");
		int[] counts = new int[3];
		for (int i = 0; i < JOBS; i++) {
			List<String> owners = owners("job" + i, runners);
			assertThat(owners).hasSize(1);
			counts[runners.indexOf(owners.get(0))]++;
		}
		for (int count : counts) {
			assertThat(count).isAtLeast(JOBS / 4);
		}
	}

	/**
	 * Guards against the loss of a process that moves the jobs of the other processes as
	 * well, which would abort all their runs in progress.
	 */
	@Test
	void shouldMoveOnlyTheJobsOfALostProcess() {
		List<String> before = List.of("storage-a-1", "storage-b-1", "storage-c-1");
		List<String> after = before.subList(0, 2);
		for (int i = 0; i < JOBS; i++) {
			String owner = owners("job" + i, before).get(0);
			if (!owner.equals("storage-c-1")) {
				assertThat(owners("job" + i, after)).containsExactly(owner);
			}
		}
	}

	@Test
	void shouldOwnNoJobWithoutCandidates() {
		assertThat(RendezvousOwners.of("a", List::of).ownedHere("job")).isFalse();
	}

}
