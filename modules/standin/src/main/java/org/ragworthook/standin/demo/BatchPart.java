package org.ragworthook.standin.demo;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import io.vertx.core.json.JsonObject;
import org.ragworthook.standin.load.BatchClient;
import org.ragworthook.standin.load.BatchJob;
import org.ragworthook.standin.load.RestClient;

/**
 * Batch jobs of the demonstration: accepted, one cancelled, every result read back.
 */
final class BatchPart {

	private static final int TOKENS = 16;

	private static final double CANCEL_SECONDS = 2;

	private final Fleet fleet;

	private final Script script;

	private final BatchClient client;

	private final Map<String, BatchJob> accepted = new LinkedHashMap<>();

	private int refused;

	private int otherJobs;

	private Optional<Cancelled> cancelled = Optional.empty();

	private BatchJob.Check sum = new BatchJob.Check(0, 0, 0, 0, 0);

	private int notEnded;

	private int unreadable;

	BatchPart(Fleet fleet, Script script) {
		this.fleet = Objects.requireNonNull(fleet, "fleet is null");
		this.script = Objects.requireNonNull(script, "script is null");
		this.client = new BatchClient(fleet.entries(fleet.plan().deployment().batchKey()));
	}

	/**
	 * Submits a job and sends it again under the same key.
	 * @param tag the job's tag and key
	 * @param size how many items it has
	 * @param poisoned whether one more item crashes engines
	 * @return the job's id, or empty if it was not accepted
	 */
	Optional<String> submit(String tag, int size, boolean poisoned) {
		BatchJob job = BatchJob.of(tag, this.fleet.plan().deployment().model(), size, TOKENS, poisoned);
		Optional<String> id = this.client.submit(job, tag).map((answer) -> answer.getString("id"));
		if (id.isEmpty()) {
			this.refused++;
			this.script.say("job " + tag + " was not accepted");
			return id;
		}
		this.script.say("job " + tag + " of " + job.size() + " items is accepted as " + id.get());
		this.accepted.put(id.get(), job);
		Optional<String> again = this.client.submit(job, tag).map((answer) -> answer.getString("id"));
		this.otherJobs += again.equals(id) ? 0 : 1;
		return id;
	}

	/**
	 * Submits a job and cancels it once some of its items have started.
	 * @param tag the job's tag
	 * @param size how many items it has
	 */
	void submitAndCancel(String tag, int size) {
		Optional<String> id = submit(tag, size, false);
		if (id.isEmpty()) {
			return;
		}
		this.accepted.remove(id.get());
		Fleet.await(() -> this.fleet.starts(tag) > 0, 20);
		boolean acknowledged = this.client.cancel(id.get()).isPresent();
		Script.pause(CANCEL_SECONDS);
		long soon = this.fleet.starts(tag);
		Script.pause(CANCEL_SECONDS * 2);
		long later = this.fleet.starts(tag);
		String status = this.client.await(id.get(), 20).getString("status", "");
		this.cancelled = Optional.of(new Cancelled(acknowledged, size, soon, later, status));
	}

	/**
	 * Waits for all jobs and reads every result back, through each entry in turn.
	 * @param seconds how long to wait for each job
	 */
	void readBack(int seconds) {
		this.accepted.forEach((id, job) -> {
			JsonObject ended = this.client.await(id, seconds);
			String status = ended.getString("status", "none");
			this.script.say("job " + job.tag() + ": " + status + " " + ended.getJsonObject("request_counts"));
			if (!"completed".equals(status)) {
				this.notEnded++;
			}
			String output = this.client.content(ended.getString("output_file_id"));
			BatchJob.Check check = job.check(output, this.client.content(ended.getString("error_file_id")));
			this.sum = this.sum.plus(check);
			this.unreadable += unreadable(ended.getString("output_file_id"), output);
		});
	}

	private int unreadable(String file, String output) {
		int differing = 0;
		for (PlannedProcess entry : this.fleet.plan().entries()) {
			RestClient.Reply reply = RestClient.of(entry.http(), this.fleet.plan().deployment().batchKey())
				.fetch("/v1/files/" + file + "/content");
			differing += (reply.ok() && reply.text().equals(output)) ? 0 : 1;
		}
		return differing;
	}

	int accepted() {
		return this.accepted.size();
	}

	void judge(PromiseTable table) {
		String promise = "an accepted job completes, each item exactly once, results readable";
		if (this.accepted.isEmpty()) {
			table.notRun(promise, this.refused + " jobs were not accepted");
			table.notRun("a job sent again is the same job", "no job was accepted");
		}
		else {
			table.add(promise, this.sum.whole() && this.notEnded == 0 && this.unreadable == 0,
					this.accepted.size() + " jobs, " + this.sum + "; " + this.notEnded + " jobs not ended, "
							+ this.unreadable + " entries without the results; " + starts());
			table.add("a job sent again is the same job", this.otherJobs == 0,
					this.otherJobs + " of " + this.accepted.size() + " resent jobs got another id; "
							+ this.client.resends() + " calls sent again");
		}
		this.cancelled.ifPresentOrElse((cancel) -> cancel.judge(table),
				() -> table.notRun("a cancelled job stops", "no job to cancel was accepted"));
	}

	private String starts() {
		long started = this.accepted.values().stream().mapToLong((job) -> this.fleet.starts(job.tag())).sum();
		return started + " starts on engines";
	}

	private record Cancelled(boolean acknowledged, int items, long startsSoon, long startsLater, String status) {

		void judge(PromiseTable table) {
			boolean held = this.acknowledged && this.startsSoon == this.startsLater && "cancelled".equals(this.status);
			table.add("a cancelled job stops", held,
					this.startsSoon + " of " + this.items + " items started until 2 s after the cancel, "
							+ (this.startsLater - this.startsSoon) + " after that; status " + this.status);
		}

	}

}
