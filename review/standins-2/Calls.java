import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Calls of clients. */
final class Calls {

	private Calls() {
	}

	record Answer(int status, byte[] body) {
	}

	private static HttpClient client() {
		return HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(1)).build();
	}

	private static final HttpClient KEPT = client();

	static String id() {
		return String.format("%016x", ThreadLocalRandom.current().nextLong());
	}

	static Answer get(String uri, long millis) throws IOException, InterruptedException {
		return send(KEPT, HttpRequest.newBuilder(URI.create(uri)).GET(), millis);
	}

	static Answer call(String method, String uri, byte[] body, long millis, String... headers)
			throws IOException, InterruptedException {
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(uri))
			.method(method, (body != null) ? HttpRequest.BodyPublishers.ofByteArray(body)
					: HttpRequest.BodyPublishers.noBody());
		if (headers.length > 0) {
			request.headers(headers);
		}
		return send(KEPT, request, millis);
	}

	private static Answer send(HttpClient client, HttpRequest.Builder request, long millis)
			throws IOException, InterruptedException {
		HttpResponse<byte[]> response = client.send(request.timeout(Duration.ofMillis(millis)).build(),
				HttpResponse.BodyHandlers.ofByteArray());
		return new Answer(response.statusCode(), response.body());
	}

	/** The outcome of a stream at its client. */
	record Stream(int status, List<String> data, String end) {
	}

	/** Sends a request for a stream and reads it to its end. */
	static Stream stream(String base, String id, int events, long deadlineMillis, String prompt)
			throws InterruptedException {
		byte[] body = new byte[1_500];
		ThreadLocalRandom.current().nextBytes(body);
		return stream(base, id, events, deadlineMillis, prompt, body);
	}

	static Stream stream(String base, String id, int events, long deadlineMillis, String prompt, byte[] body)
			throws InterruptedException {
		List<String> data = new ArrayList<>();
		HttpRequest request = HttpRequest.newBuilder(URI.create(base + "/lohu930/2f"))
			.timeout(Duration.ofMillis(deadlineMillis + 1_000))
			.headers("Host", Fleet.HOST, "X-Request-Id", id, "X-Model", "m", "X-Token-Usage", "450," + events,
					"X-Prompt-Prefix", prompt, "X-Deadline-Ms", String.valueOf(deadlineMillis))
			.POST(HttpRequest.BodyPublishers.ofByteArray(body))
			.build();
		int status = 0;
		try {
			HttpResponse<InputStream> response = KEPT.send(request, HttpResponse.BodyHandlers.ofInputStream());
			status = response.statusCode();
			try (InputStream in = response.body()) {
				StringBuilder line = new StringBuilder();
				int next;
				while ((next = in.read()) >= 0) {
					if (next != '\n') {
						line.append((char) next);
						continue;
					}
					if (line.indexOf("data: ") == 0) {
						data.add(line.substring(6));
					}
					line.setLength(0);
				}
			}
			return new Stream(status, data, "complete");
		}
		catch (IOException ex) {
			return new Stream(status, data, ex.getClass().getSimpleName() + " " + ex.getMessage());
		}
	}

	/** Returns the body of a batch job. */
	static byte[] job(String jobId, int items, int bytes, int events) throws IOException {
		ObjectNode job = Store.JSON.createObjectNode();
		ArrayNode list = job.putArray("items");
		for (int n = 0; n < items; n++) {
			byte[] body = new byte[bytes];
			ThreadLocalRandom.current().nextBytes(body);
			ObjectNode item = list.addObject();
			item.put("id", String.format("%s%03d", jobId.substring(0, 12), n)).put("path", "/pule252/3/91c4");
			item.putObject("headers")
				.put("X-Model", "m")
				.put("X-Token-Usage", "250," + events)
				.put("X-Prompt-Prefix", "9c2e41:100," + id() + ":150");
			item.put("body", Base64.getEncoder().encodeToString(body)).put("tokens", 250 + events);
		}
		return Store.JSON.writeValueAsBytes(job);
	}

	/** Reads the results of a batch job from a position. */
	static JsonNode results(String base, String jobId, int after) throws IOException, InterruptedException {
		Answer answer = call("GET", base + "/lots/" + jobId + "?after=" + after, null, 2_500, "Host", Fleet.HOST);
		if (answer.status() != 200) {
			return Store.JSON.createObjectNode().put("status", answer.status());
		}
		return Store.JSON.readTree(new String(answer.body(), StandardCharsets.UTF_8));
	}

}
