package org.ragworthook.standin.demo;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.ragworthook.standin.load.RestClient;

/**
 * Submits texts as an operator and follows the version in force at every process.
 */
final class ConfigPart {

	private static final String CONTRACT = "/admin/v1/contract?reason=demonstration";

	private static final int WAIT_SECONDS = 30;

	private final Fleet fleet;

	private final Script script;

	private final Map<String, Long> versions = new HashMap<>();

	private int reverts;

	private double seconds = -1;

	private boolean everywhere;

	private boolean applied;

	ConfigPart(Fleet fleet, Script script) {
		this.fleet = Objects.requireNonNull(fleet, "fleet is null");
		this.script = Objects.requireNonNull(script, "script is null");
	}

	/**
	 * Submits the first text.
	 * @return whether it was accepted
	 */
	boolean submitFirst() {
		RestClient.Reply reply = put(this.fleet.plan().deployment().contract().text(), 0);
		if (!reply.ok()) {
			this.script.say("first text was refused: " + reply.text());
		}
		return reply.ok();
	}

	private RestClient.Reply put(String text, long base) {
		return this.fleet.operator(this.fleet.plan().entries().get(0))
			.send("PUT", CONTRACT, Map.of("If-Match", "\"" + base + "\"", "Content-Type", "application/json"), text);
	}

	/**
	 * Submits a changed text and waits until every process acts by it.
	 */
	void change() {
		String text = this.fleet.plan().deployment().contract().text() + "\n// changed by the demonstration\n";
		long start = System.nanoTime();
		RestClient.Reply reply = put(text, 1);
		if (!reply.ok()) {
			this.script.say("changed text was not accepted: " + reply.status() + " " + reply.text());
			return;
		}
		this.applied = true;
		long version = reply.document().getLong("version", 2L);
		this.everywhere = Fleet.await(() -> lowest() >= version, WAIT_SECONDS);
		this.seconds = (System.nanoTime() - start) / 1e9;
		this.script.say(String.format("version %d is in force %s after %.2f s", version,
				this.everywhere ? "everywhere" : "NOT everywhere", this.seconds));
	}

	private long lowest() {
		JsonArray processes = status(this.fleet.plan().entries().get(0));
		boolean complete = processes.size() >= this.fleet.plan().processes().size();
		return complete ? processes.stream()
			.mapToLong((process) -> ((JsonObject) process).getLong("version", 0L))
			.min()
			.orElse(0) : 0;
	}

	private JsonArray status(PlannedProcess entry) {
		return this.fleet.operator(entry)
			.fetch("/admin/v1/status")
			.document()
			.getJsonArray("processes", new JsonArray());
	}

	/**
	 * Looks at the versions in force and notes each that is lower than it was.
	 */
	void observe() {
		for (PlannedProcess entry : this.fleet.plan().entries()) {
			status(entry).stream().map(JsonObject.class::cast).forEach((process) -> {
				String key = entry.name() + "/" + process.getString("instance");
				long version = process.getLong("version", 0L);
				long before = this.versions.getOrDefault(key, 0L);
				this.reverts += (version < before) ? 1 : 0;
				this.versions.put(key, Math.max(before, version));
			});
		}
	}

	void judge(PromiseTable table) {
		String promise = "an accepted text is in force everywhere within seconds, never reverts";
		if (!this.applied) {
			table.notRun(promise, "no change was accepted");
			return;
		}
		table.add(promise, this.everywhere && this.seconds <= 10 && this.reverts == 0,
				String.format("everywhere=%s after %.2f s (bound 10 s), %d reverts seen", this.everywhere, this.seconds,
						this.reverts));
	}

}
