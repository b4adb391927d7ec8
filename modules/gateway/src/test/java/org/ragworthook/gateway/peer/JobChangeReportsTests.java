package org.ragworthook.gateway.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.ragworthook.core.time.ManualTime;
import org.ragworthook.wire.load.LoadReport;

import static com.google.common.truth.Truth.assertThat;

/**
 * The reports of entries about jobs that they have accepted or ended.
 */
class JobChangeReportsTests {

	private final ManualTime time = ManualTime.of();

	private final AtomicInteger flushes = new AtomicInteger();

	private final JobChangeReports entry = new JobChangeReports(this.time, this.flushes::incrementAndGet);

	private LoadReport report() {
		LoadReport.Builder report = LoadReport.newBuilder().setInstance("entry");
		this.entry.write(report);
		return report.build();
	}

	/**
	 * Guards against a change that is missed because one report is lost, and against an
	 * owner that reads the store once for each repetition. That the job ends soon after
	 * it was accepted is a second change.
	 */
	@Test
	void shouldReportEachChangeSeveralTimes() {
		JobChangeReports owner = new JobChangeReports(this.time, () -> {
		});
		List<String> changes = new ArrayList<>();
		owner.onChange((job, ended) -> changes.add(job + " " + ended));
		this.entry.changed("job", false);
		assertThat(this.flushes.get()).isEqualTo(1);
		for (int round = 0; round < 3; round++) {
			assertThat(this.entry.hasChanges()).isTrue();
			owner.read(report());
			this.time.advance(Duration.ofMillis(100));
		}
		this.entry.changed("job", true);
		owner.read(report());
		assertThat(changes).containsExactly("job false", "job true").inOrder();
	}

	@Test
	void shouldStopReportingAfterTheRepeatPeriod() {
		this.entry.changed("job", false);
		this.time.advance(JobChangeReports.REPEAT_PERIOD.plusMillis(1));
		assertThat(this.entry.hasChanges()).isFalse();
		assertThat(report().getChangedJobsList()).isEmpty();
	}

}
