package org.ragworthook.standin.engine;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.standin.ControlClient;
import org.ragworthook.standin.StandInServer;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link ModelEngine} over HTTP.
 */
class ModelEngineTests {

	private Vertx vertx;

	@BeforeEach
	void start() {
		this.vertx = Vertx.vertx();
	}

	@AfterEach
	void stop() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	private static EngineSettings.Builder fast() {
		return EngineSettings.builder().tokenTime(Duration.ofMillis(1), Duration.ZERO).prefillTime(Duration.ZERO);
	}

	private ControlClient engine(EngineSettings settings) {
		return new ControlClient(port(settings));
	}

	private int port(EngineSettings settings) {
		return new ModelEngine(0, settings).deploy(this.vertx).toCompletionStage().toCompletableFuture().join();
	}

	private static JsonObject chat(int tokens, JsonObject... messages) {
		JsonArray list = new JsonArray();
		for (JsonObject message : messages) {
			list.add(message);
		}
		return new JsonObject().put("model", "assistant")
			.put("messages", list)
			.put("max_tokens", tokens)
			.put("ignore_eos", true);
	}

	private static JsonObject message(String role, String content) {
		return new JsonObject().put("role", role).put("content", content);
	}

	private static String content(JsonObject answer) {
		return answer.getJsonArray("choices").getJsonObject(0).getJsonObject("message").getString("content");
	}

	@Test
	void shouldAnswerAPromptTheSameEachTime() {
		JsonObject request = chat(20, message("user", "is 120 cm wide enough?"));
		String first = content(engine(fast().build()).post("/v1/chat/completions", request));
		String second = content(engine(fast().build()).post("/v1/chat/completions", request));
		assertThat(second).isEqualTo(first);
		assertThat(first).isEqualTo(Prompt.chat(request).answer());
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 7, 19 })
	void shouldGoOnWhereAnAnswerBrokeOff(int passedOn) {
		ControlClient engine = engine(fast().build());
		JsonObject user = message("user", "a party for eight");
		String whole = content(engine.post("/v1/chat/completions", chat(20, user)));
		String begun = content(engine.post("/v1/chat/completions", chat(passedOn, user)));
		JsonObject resumed = chat(20 - passedOn, user, message("assistant", begun)).put("continue_final_message", true)
			.put("add_generation_prompt", false);
		assertThat(begun + content(engine.post("/v1/chat/completions", resumed))).isEqualTo(whole);
	}

	@Test
	void shouldGoOnFromThePrefixOfACompletion() {
		ControlClient engine = engine(fast().build());
		JsonObject request = new JsonObject().put("model", "assistant").put("prompt", "cut sheet").put("max_tokens", 9);
		String whole = text(engine.post("/v1/completions", request.copy().put("ignore_eos", true)));
		String begun = text(
				engine.post("/v1/completions", request.copy().put("ignore_eos", true).put("max_tokens", 4)));
		JsonObject resumed = request.copy().put("prompt", "cut sheet" + begun).put("max_tokens", 5);
		assertThat(begun + text(engine.post("/v1/completions", resumed.put("ignore_eos", true)))).isEqualTo(whole);
	}

	private static String text(JsonObject answer) {
		return answer.getJsonArray("choices").getJsonObject(0).getString("text");
	}

	@Test
	void shouldStreamTheSameText() {
		int port = port(fast().build());
		JsonObject request = chat(12, message("user", "hello")).put("stream", true)
			.put("stream_options", new JsonObject().put("include_usage", true));
		String body = this.vertx.createHttpClient()
			.request(HttpMethod.POST, port, StandInServer.HOST, "/v1/chat/completions")
			.compose((opened) -> opened.send(request.toBuffer()))
			.compose((response) -> response.body())
			.toCompletionStage()
			.toCompletableFuture()
			.join()
			.toString();
		StringBuilder text = new StringBuilder();
		body.lines().filter((line) -> line.startsWith("data: {")).forEach((line) -> {
			JsonArray choices = new JsonObject(line.substring("data: ".length())).getJsonArray("choices");
			if (!choices.isEmpty()) {
				text.append(choices.getJsonObject(0).getJsonObject("delta").getString("content", ""));
			}
		});
		assertThat(text.toString()).isEqualTo(Prompt.chat(request).answer());
		assertThat(body).endsWith("data: [DONE]\n\n");
		assertThat(body).contains("\"completion_tokens\":12");
	}

	// A caller closes its connection in the middle of an answer. Without the cancel the
	// slot
	// would be taken for the rest of a long answer.
	@Test
	void shouldCancelWhenTheConnectionCloses() {
		int port = port(fast().slots(1).build());
		HttpClient client = this.vertx.createHttpClient();
		JsonObject endless = chat(1_000_000, message("user", "go on")).put("stream", true);
		CompletableFuture<Buffer> firstPiece = new CompletableFuture<>();
		HttpClientRequest request = client.request(HttpMethod.POST, port, StandInServer.HOST, "/v1/chat/completions")
			.toCompletionStage()
			.toCompletableFuture()
			.join();
		request.send(endless.toBuffer()).onSuccess((response) -> response.handler(firstPiece::complete));
		firstPiece.join();
		request.reset();
		ControlClient engine = new ControlClient(port);
		String next = content(engine.post("/v1/chat/completions", chat(1, message("user", "next"))));
		assertThat(next).isNotEmpty();
		assertThat(engine.get("/control/counts").getLong("cancelled")).isEqualTo(1);
	}

	// One request crashes every engine that runs it. The process that follows it up sees
	// broken connections, a closed port, and after a while an engine without memory.
	@Test
	void shouldCrashOnAMarkedRequestAndComeBack() {
		int port = port(fast().restartTime(Duration.ofMillis(1)).build());
		ControlClient engine = new ControlClient(port);
		boolean broken = false;
		try {
			engine.post("/v1/chat/completions", chat(5, message("user", Prompt.CRASH_MARKER)));
		}
		catch (IllegalStateException ex) {
			broken = true;
		}
		assertThat(broken).isTrue();
		assertThat(untilUp(engine).getLong("crashes")).isEqualTo(1);
		assertThat(content(engine.post("/v1/chat/completions", chat(5, message("user", "hello"))))).isNotEmpty();
	}

	private static JsonObject untilUp(ControlClient engine) {
		for (int attempt = 0; attempt < 10_000; attempt++) {
			try {
				return engine.get("/control/counts");
			}
			catch (IllegalStateException ex) {
				Thread.onSpinWait();
			}
		}
		throw new IllegalStateException("engine did not come back");
	}

	@ParameterizedTest
	@CsvSource({ "true, 0", "false, 1" })
	void shouldRefuseAnOlderFencingTokenOnlyIfItChecks(boolean checked, int laterModels) {
		ControlClient engine = engine(fast().fencingChecked(checked).build());
		engine.post("/v1/set_role", new JsonObject().put("role", "decode").put("fencing_token", 7));
		engine.post("/v1/load_model", new JsonObject().put("model", "late").put("fencing_token", 6));
		long loaded = engine.get("/v1/models")
			.getJsonArray("data")
			.stream()
			.filter((model) -> ((JsonObject) model).getString("id").equals("late"))
			.count();
		assertThat(loaded).isEqualTo(laterModels);
	}

	@Test
	void shouldMoveItsCacheToAnotherEngine() {
		ControlClient from = engine(fast().build());
		ControlClient to = engine(fast().build());
		JsonObject request = chat(1, message("user", "measure the window again ".repeat(20)));
		from.post("/v1/chat/completions", request);
		JsonObject blocks = from.post("/v1/kv/export", new JsonObject().put("prompt", Prompt.chat(request).text()));
		assertThat(blocks.getJsonArray("block_hashes").size()).isGreaterThan(1);
		to.post("/v1/kv/import", blocks);
		JsonObject usage = to.post("/v1/chat/completions", request).getJsonObject("usage");
		assertThat(usage.getJsonObject("prompt_tokens_details").getInteger("cached_tokens")).isGreaterThan(1);
	}

	@ParameterizedTest
	@ValueSource(strings = { "{\"model\":\"assistant\"}", "{\"model\":\"other\",\"messages\":[{\"role\":\"user\"}]}",
			"{\"model\":\"assistant\",\"messages\":7}", "{" })
	void shouldRefuseWhatItCannotRead(String body) {
		JsonObject answer = engine(fast().build()).postText("/v1/chat/completions", body);
		assertThat(answer.getJsonObject("error").getString("message")).isNotEmpty();
	}

}
