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
 * What entries tell of jobs that they have accepted or ended.
 */
class ChangedJobsTests {

	private final ManualTime time = ManualTime.of();

	private final AtomicInteger urged = new AtomicInteger();

	private final ChangedJobs entry = new ChangedJobs(this.time, this.urged::incrementAndGet);

	private LoadReport report() {
		LoadReport.Builder report = LoadReport.newBuilder().setInstance("entry");
		this.entry.write(report);
		return report.build();
	}

	/**
	 * A report is lost. The next ones tell of the job as well, and its owner acts once on
	 * all of them; that the job is ended soon after is a change of its own.
	 */
	@Test
	void shouldTellOfEachChangeSeveralTimes() {
		ChangedJobs owner = new ChangedJobs(this.time, () -> {
		});
		List<String> seen = new ArrayList<>();
		owner.onChange(seen::add);
		this.entry.changed("job", false);
		assertThat(this.urged.get()).isEqualTo(1);
		for (int round = 0; round < 3; round++) {
			assertThat(this.entry.hasChanges()).isTrue();
			owner.read(report());
			this.time.advance(Duration.ofMillis(100));
		}
		this.entry.changed("job", true);
		owner.read(report());
		assertThat(seen).containsExactly("job", "job");
	}

	@Test
	void shouldNotTellForLong() {
		this.entry.changed("job", false);
		this.time.advance(ChangedJobs.TOLD.plusMillis(1));
		assertThat(this.entry.hasChanges()).isFalse();
		assertThat(report().getChangedJobsList()).isEmpty();
	}

}
