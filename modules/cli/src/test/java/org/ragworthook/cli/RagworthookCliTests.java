package org.ragworthook.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.cli.output.ExitCode;

import static com.google.common.truth.Truth.assertThat;

class RagworthookCliTests {

	private static final String EXAMPLE = "../../examples/peachtree.json";

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

	private final FakeEntry entry = FakeEntry.start();

	private final Map<String, String> environment = new HashMap<>(Map.of("RAGWORTHOOK_ENTRY", this.entry.url()));

	@TempDir
	private Path folder;

	@AfterEach
	void stop() {
		this.entry.close();
	}

	private ExitCode run(String... args) {
		this.environment.put("HOME", this.folder.toString());
		return RagworthookCli
			.of(this.environment, new PrintStream(this.out, true, StandardCharsets.UTF_8),
					new PrintStream(this.errors, true, StandardCharsets.UTF_8))
			.run(args);
	}

	/**
	 * The connection ends in the middle of the results. A part must not be written as the
	 * whole.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "Content-Length: 100", "Transfer-Encoding: chunked", "Connection: close" })
	void shouldNotWriteAPartOfTheResults(String framing) throws IOException {
		String response = "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n" + (framing.contains("chunked") ? "b\r\n" : "")
				+ "{\"half\": 1}" + (framing.contains("chunked") ? "\r\n" : "");
		assertNotWritten(response);
	}

	private void assertNotWritten(String response) throws IOException {
		Path file = this.folder.resolve("results.jsonl");
		assertThat(results(response, file)).isEqualTo(ExitCode.UNAVAILABLE);
		assertThat(Files.exists(file)).isFalse();
	}

	/** Guards against results that are written though the entry's answer is none. */
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nbody",
			"HTTP/1.1 +200 OK\r\nContent-Length: 4\r\n\r\nbody",
			"HTTP/1.1 200 OK\r\nX-No te: 1\r\nContent-Length: 4\r\n\r\nbody",
			"HTTP/1.1 200 OK\r\nContent-Length old: 2\r\nContent-Length: 4\r\n\r\nbody",
			"HTTP/1.1 200 OK\r\nX-No\u0001te: 1\r\nContent-Length: 4\r\n\r\nbody",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbody",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4 4\r\nbody\r\n0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nno field\r\n\r\n" })
	void shouldNotWriteResultsOfAMalformedAnswer(String response) throws IOException {
		assertNotWritten(response);
	}

	/** Guards against a limit on sound answers that are unusual. */
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 \r\nX-Note:\r\nContent-Length: 4\r\n\r\nbody",
			"\r\nHTTP/1.1 200 it went well\r\nContent-Length:4\r\n\r\nbody",
			"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=b\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n" })
	void shouldWriteResultsOfAnUnusualAnswer(String response) throws IOException {
		Path file = this.folder.resolve("results.jsonl");
		assertThat(results(response, file)).isEqualTo(ExitCode.OK);
		assertThat(Files.readString(file)).isEqualTo("body");
	}

	/**
	 * Fetches the results of a job from an entry on a plain socket.
	 * @param response the entry's answer with the results, byte by byte
	 * @param file where to write them
	 * @return how the command ended
	 */
	private ExitCode results(String response, Path file) throws IOException {
		String job = "{\"status\":\"completed\",\"output_file_id\":\"file-1\"}";
		try (ServerSocket server = new ServerSocket(0)) {
			this.environment.put("RAGWORTHOOK_ENTRY", "http://127.0.0.1:" + server.getLocalPort());
			CompletableFuture<Void> answered = CompletableFuture.runAsync(() -> {
				answer(server, "HTTP/1.1 200 OK\r\nContent-Length: " + job.length() + "\r\n\r\n" + job);
				answer(server, response);
			});
			ExitCode code = run("results", "batch_1", "--to", file.toString());
			answered.join();
			return code;
		}
	}

	private static void answer(ServerSocket server, String response) {
		try (Socket socket = server.accept()) {
			StringBuilder request = new StringBuilder();
			while (request.indexOf("\r\n\r\n") < 0) {
				request.append((char) socket.getInputStream().read());
			}
			socket.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private String printed() {
		return this.out.toString(StandardCharsets.UTF_8);
	}

	private String complaints() {
		return this.errors.toString(StandardCharsets.UTF_8);
	}

	@ParameterizedTest
	@EnumSource(CommandName.class)
	void shouldExplainEachCommand(CommandName name) {
		assertThat(run(name.label(), "--help")).isEqualTo(ExitCode.OK);
		assertThat(printed()).contains(name.summary());
		assertThat(printed()).contains("--entry");
	}

	@ParameterizedTest
	@ValueSource(strings = { "aply x", "apply", "apply x --reason r --roll-back 3", "status --colour", "drain" })
	void shouldEndWithUsageWhenTheCommandLineIsWrong(String line) {
		assertThat(run(line.split(" "))).isEqualTo(ExitCode.USAGE);
		assertThat(complaints()).isNotEmpty();
	}

	@Test
	void shouldValidateWithoutAnEntry() throws IOException {
		assertThat(run("validate", EXAMPLE)).isEqualTo(ExitCode.OK);
		Path broken = this.folder.resolve("broken.json");
		Files.writeString(broken, "// ragworthook: edited from version 3\n{\"name\": \"x\",\n\"colour\": 1}\n");
		assertThat(run("validate", broken.toString(), "--output", "json")).isEqualTo(ExitCode.REFUSED);
		assertThat(printed()).contains("\"line\" : 3");
		assertThat(printed()).contains("key 'colour' is not known");
		assertThat(this.entry.calls()).isEmpty();
	}

	@Test
	void shouldWaitUntilEveryProcessActsByAnAppliedText() {
		this.entry.on("PUT /admin/v1/contract", 200,
				"{\"version\":4,\"changes\":[{\"effect\":\"LOAD\",\"subject\":\"m\",\"words\":\"load m@v1\"}]}");
		this.entry.on("GET /admin/v1/status", 200, "{\"processes\":[{\"version\":3},{\"version\":4}]}",
				"{\"processes\":[{\"version\":4},{\"version\":4}]}");
		assertThat(run("apply", EXAMPLE, "--reason", "more desks", "--base", "3", "--key", "k")).isEqualTo(ExitCode.OK);
		assertThat(printed()).contains("load m@v1");
		assertThat(complaints()).contains("1/2 processes act by version 4");
		assertThat(complaints()).contains("2/2 processes act by version 4");
		assertThat(complaints()).contains("in force everywhere");
		assertThat(this.entry.calls().get(0)).isEqualTo("PUT /admin/v1/contract Bearer k \"3\" null");
	}

	// A process is cut off and does not report the new version. The operator must not be
	// told that all is done, and a script must be able to tell this from a refusal.
	@Test
	void shouldEndWithTimeoutWhileAProcessLags() {
		this.entry.on("PUT /admin/v1/contract", 200, "{\"version\":4}");
		this.entry.on("GET /admin/v1/status", 200, "{\"processes\":[{\"version\":3},{\"version\":4}]}");
		assertThat(run("apply", EXAMPLE, "--reason", "r", "--timeout", "0")).isEqualTo(ExitCode.TIMEOUT);
		assertThat(complaints()).contains("accepted, but not yet in force everywhere");
	}

	// Somebody else's change came first. The operator sees the entry's words, and the
	// exit
	// code tells a script that the text itself was not at fault.
	@Test
	void shouldTellAConflictFromARefusal() {
		this.entry.on("PUT /admin/v1/contract", 409, "{\"error\":{\"message\":\"ben came first\"}}");
		assertThat(run("apply", EXAMPLE, "--reason", "r")).isEqualTo(ExitCode.CONFLICT);
		assertThat(complaints()).contains("ben came first");
	}

	@Test
	void shouldRollBackByANewChangeOfTheNewestVersion() {
		String text = "{\\\"name\\\": \\\"x\\\", \\\"regions\\\": [{\\\"name\\\": \\\"r\\\", \\\"failureDomains\\\": "
				+ "[\\\"a\\\"]}], \\\"services\\\": [{\\\"name\\\": \\\"s\\\", \\\"type\\\": \\\"plain\\\", "
				+ "\\\"failureDomains\\\": [\\\"a\\\"]}]}";
		this.entry.on("GET /admin/v1/contract", 200, "{\"version\":2,\"text\":\"" + text + "\"}",
				"{\"version\":7,\"text\":\"" + text + "\"}");
		this.entry.on("PUT /admin/v1/contract", 200, "{\"version\":8}");
		assertThat(run("apply", "--roll-back", "2", "--reason", "worse", "--no-wait")).isEqualTo(ExitCode.OK);
		assertThat(this.entry.calls().get(2)).contains("\"7\"");
	}

	@Test
	void shouldApplyFromTheVersionThatGetWrote() {
		this.entry.on("GET /admin/v1/contract", 200, "{\"version\":5,\"text\":\"{}\\n\"}");
		Path file = this.folder.resolve("text.json");
		assertThat(run("get", "--to", file.toString())).isEqualTo(ExitCode.OK);
		assertThat(file.toFile().exists()).isTrue();
		assertThat(run("validate", file.toString())).isEqualTo(ExitCode.REFUSED);
	}

	@Test
	void shouldSubmitTheSameFileUnderTheSameKey() throws IOException {
		Path items = this.folder.resolve("items.jsonl");
		Files.writeString(items, "{}\n");
		this.entry.on("POST /v1/files", 200, "{\"id\":\"file-1\"}");
		this.entry.on("POST /v1/batches", 200, "{\"id\":\"job-1\",\"status\":\"in_progress\"}");
		this.entry.on("GET /v1/batches/job-1", 200,
				"{\"id\":\"job-1\",\"status\":\"completed\",\"request_counts\":{\"total\":2,\"completed\":1,\"failed\":1}}");
		assertThat(run("submit", items.toString())).isEqualTo(ExitCode.OK);
		assertThat(run("submit", items.toString(), "--wait")).isEqualTo(ExitCode.FAILED);
		assertThat(this.entry.calls().get(1)).isEqualTo(this.entry.calls().get(3));
		assertThat(this.entry.calls().get(1)).contains("sha256:");
	}

	@Test
	void shouldPassOverAnEntryThatIsDown() {
		this.entry.on("GET /admin/v1/history", 200, "{\"changes\":[]}");
		assertThat(run("history", "--entry", "127.0.0.1:1," + this.entry.url())).isEqualTo(ExitCode.OK);
		assertThat(run("history", "--entry", "127.0.0.1:1")).isEqualTo(ExitCode.UNAVAILABLE);
	}

	@Test
	void shouldTakeTheEntryFromFlagThenEnvironmentThenFile() throws IOException {
		this.entry.on("GET /admin/v1/history", 200, "{\"changes\":[]}");
		Path settings = this.folder.resolve("cli.json");
		Files.writeString(settings, "{\n// our entries\n\"entry\": \"" + this.entry.url() + "\", \"key\": \"f\"}");
		this.environment.clear();
		assertThat(run("history")).isEqualTo(ExitCode.USAGE);
		assertThat(run("history", "--settings", settings.toString())).isEqualTo(ExitCode.OK);
		this.environment.put("RAGWORTHOOK_KEY", "e");
		assertThat(run("history", "--settings", settings.toString())).isEqualTo(ExitCode.OK);
		assertThat(run("history", "--settings", settings.toString(), "--key", "c")).isEqualTo(ExitCode.OK);
		assertThat(this.entry.calls().stream().map((call) -> call.split(" ")[3]).toList())
			.containsExactly("f", "e", "c")
			.inOrder();
	}

}
