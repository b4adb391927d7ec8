package org.ragworthook.standin.load;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;

import io.vertx.core.json.JsonObject;

/**
 * Uses files and batches as a caller does, and sends again what got no answer or a
 * refusal that asks for it.
 */
public final class BatchClient {

	private static final String BOUNDARY = "ragworthook-stand-in-boundary";

	private static final Set<String> ENDED = Set.of("completed", "cancelled", "failed", "expired");

	private static final int MOST_RESENDS = 20;

	private static final long PAUSE_NANOS = 250_000_000L;

	private final List<Target> targets;

	private int resends;

	/**
	 * Creates a client.
	 * @param targets the entries, used in turn
	 */
	public BatchClient(List<Target> targets) {
		this.targets = List.copyOf(targets);
	}

	/**
	 * Returns how often a call was sent again.
	 * @return resends
	 */
	public int resends() {
		return this.resends;
	}

	/**
	 * Uploads a job's file and submits the job.
	 * @param job the job
	 * @param key its idempotency key
	 * @return the job as the entry describes it, or empty if it was not accepted
	 */
	public Optional<JsonObject> submit(BatchJob job, String key) {
		Optional<JsonObject> file = send("POST", "/v1/files",
				Map.of("Content-Type", "multipart/form-data; boundary=" + BOUNDARY, "Idempotency-Key", key + "-file"),
				multipart(job.lines()));
		if (file.isEmpty()) {
			return Optional.empty();
		}
		JsonObject batch = new JsonObject().put("input_file_id", file.get().getString("id"))
			.put("endpoint", "/v1/chat/completions")
			.put("completion_window", "24h");
		Map<String, String> headers = new HashMap<>();
		headers.put("Content-Type", "application/json");
		headers.put("Idempotency-Key", key);
		return send("POST", "/v1/batches", headers, batch.encode());
	}

	private static String multipart(String lines) {
		return "--" + BOUNDARY + "\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n--" + BOUNDARY
				+ "\r\nContent-Disposition: form-data; name=\"file\"; filename=\"job.jsonl\"\r\n"
				+ "Content-Type: application/jsonl\r\n\r\n" + lines + "\r\n--" + BOUNDARY + "--\r\n";
	}

	/**
	 * Reads a job.
	 * @param id its id
	 * @return the job as an entry describes it
	 */
	public Optional<JsonObject> job(String id) {
		return send("GET", "/v1/batches/" + id, Map.of(), "");
	}

	/**
	 * Cancels a job.
	 * @param id its id
	 * @return the job as the entry describes it after the cancel
	 */
	public Optional<JsonObject> cancel(String id) {
		return send("POST", "/v1/batches/" + id + "/cancel", Map.of("Content-Type", "application/json"), "{}");
	}

	/**
	 * Waits until a job has ended.
	 * @param id its id
	 * @param seconds how long to wait
	 * @return the job, ended or not
	 */
	public JsonObject await(String id, int seconds) {
		long end = System.nanoTime() + seconds * 1_000_000_000L;
		JsonObject newest = new JsonObject();
		while (System.nanoTime() < end) {
			newest = job(id).orElse(newest);
			if (ENDED.contains(newest.getString("status", ""))) {
				return newest;
			}
			LockSupport.parkNanos(PAUSE_NANOS);
		}
		return newest;
	}

	/**
	 * Reads a file.
	 * @param id its id, or {@code null} if there is none
	 * @return its content, empty if there is none
	 */
	public String content(String id) {
		return (id != null) ? sendForText("GET", "/v1/files/" + id + "/content", Map.of(), "").orElse("") : "";
	}

	private Optional<JsonObject> send(String method, String path, Map<String, String> headers, String body) {
		return sendForText(method, path, headers, body).map(JsonObject::new);
	}

	private Optional<String> sendForText(String method, String path, Map<String, String> headers, String body) {
		for (int sent = 0; sent <= MOST_RESENDS; sent++) {
			Target target = this.targets.get(sent % this.targets.size());
			RestClient.Reply reply = RestClient.of(target.address(), target.key()).send(method, path, headers, body);
			if (reply.ok()) {
				return Optional.of(reply.text());
			}
			if (reply.status() != 0 && reply.status() != 503 && reply.status() != 429) {
				return Optional.empty();
			}
			this.resends++;
			LockSupport.parkNanos(PAUSE_NANOS);
		}
		return Optional.empty();
	}

}
