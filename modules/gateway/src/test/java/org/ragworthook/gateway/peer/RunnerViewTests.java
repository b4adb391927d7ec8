package org.ragworthook.gateway.peer;

import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.ragworthook.wire.load.HeardRunner;
import org.ragworthook.wire.load.LoadReport;

import static com.google.common.truth.Truth.assertThat;

/**
 * Who runs jobs, as a process can tell that hears some of its peers.
 */
class RunnerViewTests {

	private static LoadReport.Builder runner(String name) {
		return LoadReport.newBuilder().setInstance(name).setRunsJobs(true);
	}

	private static LoadReport.Builder entry(String name, String... heard) {
		LoadReport.Builder report = LoadReport.newBuilder().setInstance(name);
		Arrays.stream(heard).forEach((runner) -> report.addHeardRunners(HeardRunner.newBuilder().setInstance(runner)));
		return report;
	}

	private static List<String> owners(LoadReport.Builder... reports) {
		RunnerView view = RunnerView.of(Arrays.stream(reports).map(LoadReport.Builder::build).toList());
		view.add("self", false);
		return view.owners();
	}

	@Test
	void shouldNameWhatIsHeardAndItself() {
		assertThat(owners(runner("b"), entry("e"))).containsExactly("b", "self");
	}

	/**
	 * A machine is cut off from the others that run jobs, but not from the entries and
	 * the store. Both sides run all jobs, and each item twice.
	 */
	@Test
	void shouldNotTakeForDeadWhatAPeerHears() {
		assertThat(owners(entry("e", "b", "c"))).containsExactly("b", "c", "self");
	}

	/**
	 * A process that stops says so. What others have heard of it before must not keep its
	 * jobs waiting.
	 */
	@Test
	void shouldBelieveAProcessThatSaysThatItLeaves() {
		assertThat(owners(runner("b").setLeaving(true), entry("e", "b"))).containsExactly("self");
	}

	@Test
	void shouldLeaveOutWhatHasLostTheStore() {
		LoadReport.Builder teller = entry("e")
			.addHeardRunners(HeardRunner.newBuilder().setInstance("c").setStoreLost(true));
		assertThat(owners(runner("b").setStoreLost(true), teller)).containsExactly("self");
	}

	@Test
	void shouldNameAllWhenAllHaveLostTheStore() {
		RunnerView view = RunnerView.of(List.of(runner("b").setStoreLost(true).build()));
		view.add("self", true);
		assertThat(view.owners()).containsExactly("b", "self");
	}

}
