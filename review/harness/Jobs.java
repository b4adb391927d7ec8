import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Batch jobs and the calls about them. */
final class Jobs {

	/** A batch job as its client sees it. */
	static final class Job {

		final String id;

		final List<String> items = new ArrayList<>();

		/** The state of each listed item. */
		final Map<String, String> listed = new LinkedHashMap<>();

		final Map<String, String> outputs = new LinkedHashMap<>();

		volatile double acceptedAt = -1;

		volatile boolean done;

		Job(String id) {
			this.id = id;
		}

		List<String> open() {
			return this.items.stream().filter((item) -> !this.listed.containsKey(item)).toList();
		}

	}

	private Jobs() {
	}

	static byte[] body(Job job, int items, int bodyBytes, int outputTokens) {
		ObjectNode root = Store.JSON.createObjectNode();
		ArrayNode list = root.putArray("items");
		for (int n = 0; n < items; n++) {
			String id = job.id + String.format("%04x", n);
			job.items.add(id);
			byte[] content = new byte[bodyBytes];
			java.util.Arrays.fill(content, (byte) ('a' + n % 26));
			ObjectNode item = list.addObject();
			item.put("id", id).put("path", "/sheets/3/" + Integer.toHexString(n));
			item.putObject("headers")
				.put("X-Model", "m")
				.put("X-Token-Usage", "350," + outputTokens)
				.put("X-Prompt-Prefix", "9c2e41:100,5d" + id + ":250");
			item.put("body", Base64.getEncoder().encodeToString(content)).put("tokens", 350 + outputTokens);
		}
		return root.toString().getBytes(StandardCharsets.UTF_8);
	}

	/** Sends a batch job until it is accepted, each time to the next entry. */
	static boolean submit(Fleet fleet, Job job, byte[] body, int first, int attempts) {
		for (int n = 0; n < attempts; n++) {
			Fleet.Node entry = fleet.entries.get((first + n) % fleet.entries.size());
			Client.Answer answer = Client.call("127.0.0.1", entry.front, "POST", "/sheets/" + job.id,
					Map.of("X-Request-Id", job.id, "Content-Type", "application/json", "X-Deadline-Ms", "4000"), body,
					5_500);
			fleet.record.line("client: POST batch job %s, %d items, %d bytes, to %s: %d", job.id, job.items.size(),
					body.length, entry.name, answer.status());
			if (answer.status() == 202) {
				job.acceptedAt = fleet.record.seconds();
				return true;
			}
			Store.pause(300);
		}
		return false;
	}

	/** Reads the results that follow those known; returns the status of the last call. */
	static int read(Fleet fleet, Job job, int which) {
		int status;
		do {
			Fleet.Node entry = fleet.entries.get(Math.floorMod(which, fleet.entries.size()));
			Client.Answer answer = Client.call("127.0.0.1", entry.front, "GET",
					"/lots/" + job.id + "?after=" + job.listed.size(), Map.of("X-Wait-Ms", "0"), new byte[0], 3_000);
			status = answer.status();
			if (status != 200) {
				return status;
			}
			try {
				JsonNode page = Store.JSON.readTree(answer.body());
				if (page.path("results").isEmpty()) {
					break;
				}
				for (JsonNode result : page.path("results")) {
					job.listed.put(result.path("id").asText(), result.path("state").asText());
					job.outputs.put(result.path("id").asText(), result.path("output").asText());
				}
			}
			catch (java.io.IOException ex) {
				return 0;
			}
		}
		while (job.listed.size() < job.items.size());
		job.done = job.listed.size() >= job.items.size();
		return status;
	}

}
