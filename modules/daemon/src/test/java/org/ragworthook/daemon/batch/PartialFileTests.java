package org.ragworthook.daemon.batch;

import java.time.Duration;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.job.FileId;
import org.ragworthook.core.job.JobId;
import org.ragworthook.core.store.Kind;
import org.ragworthook.daemon.fake.RawCaller;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests that a part of a file never looks like the whole file.
 */
@Timeout(120)
class PartialFileTests {

	/** More than the lines of one chunk. */
	private static final int LINES = 1200;

	private final BatchFleet fleet = new BatchFleet(Duration.ofMillis(1));

	private final BatchFleet.Entry entry = this.fleet.entry("a");

	@AfterEach
	void stop() {
		this.fleet.close();
	}

	private static String lines(int count, int tokens) {
		return IntStream.range(0, count)
			.mapToObj((item) -> "{\"custom_id\":\"item-" + item
					+ "\",\"method\":\"POST\",\"url\":\"/v1/chat/completions\",\"body\":{\"model\":\"m\",\"max_tokens\":"
					+ tokens + ",\"ignore_eos\":true,\"messages\":[{\"role\":\"user\",\"content\":\"check\"}]}}\n")
			.collect(Collectors.joining());
	}

	private String upload(String lines) {
		return new JsonObject(this.entry.upload(lines).body()).getString("id");
	}

	private RawCaller.Received content(String file, String version) {
		try (RawCaller caller = RawCaller.send(this.entry.port(), BatchFleet.KEY, version, "GET",
				"/v1/files/" + file + "/content", "")) {
			return caller.await();
		}
	}

	/**
	 * The results of a job are read before it has ended.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "OUTPUT", "ERRORS" })
	void shouldRefuseResultsOfOpenJob(String kind) {
		String id = this.entry.createBatch(upload(lines(50, 5_000))).getString("id");
		JobId job = JobId.parse(id).orElseThrow();
		FileId file = kind.equals("OUTPUT") ? FileId.outputOf(job) : FileId.errorsOf(job);
		assertThat(this.entry.get("/v1/files/" + file.id() + "/content").statusCode()).isEqualTo(404);
		assertThat(this.entry.get("/v1/files/" + file.id()).statusCode()).isEqualTo(404);
	}

	/**
	 * A chunk of a file is gone when its content is read, as when the file is collected
	 * meanwhile.
	 */
	@ParameterizedTest
	@CsvSource({ "RESULT, 1.0", "RESULT, 1.1", "CHUNK, 1.0", "CHUNK, 1.1" })
	void shouldBreakOffContentWithMissingChunk(String kind, String version) {
		String input = upload(lines(LINES, 1));
		String file = input;
		if (kind.equals("RESULT")) {
			String job = this.entry.createBatch(input).getString("id");
			file = this.entry.awaitStatus(job, "completed").getString("output_file_id");
		}
		assertThat(content(file, version).whole()).isTrue();
		this.fleet.removeLast(Kind.valueOf(kind));
		RawCaller.Received received = content(file, version);
		assertThat(received.text().toLowerCase(Locale.ROOT)).contains("item-0");
		assertThat(received.whole()).isFalse();
	}

	/**
	 * The first chunk of a file is gone; nothing has been sent that could be broken off.
	 */
	@Test
	void shouldRefuseContentWithoutFirstChunk() {
		String file = upload(lines(1, 1));
		this.fleet.removeLast(Kind.CHUNK);
		assertThat(this.entry.get("/v1/files/" + file + "/content").statusCode()).isEqualTo(404);
	}

}
