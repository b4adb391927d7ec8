package org.ragworthook.standin.load;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.standin.StandInServer;
import org.ragworthook.standin.engine.EngineSettings;
import org.ragworthook.standin.engine.ModelEngine;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link OnlineLoad} and {@link ChatCaller}.
 */
@Timeout(60)
class OnlineLoadTests {

	private final Vertx vertx = Vertx.vertx();

	@AfterEach
	void stop() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	private Target engine() {
		EngineSettings settings = EngineSettings.builder()
			.tokenTime(Duration.ofMillis(1), Duration.ZERO)
			.prefillTime(Duration.ZERO)
			.build();
		int port = new ModelEngine(0, settings).deploy(this.vertx).toCompletionStage().toCompletableFuture().join();
		return Target.of(new Address(StandInServer.HOST, port));
	}

	private Target server(String answer) {
		int port = this.vertx.createHttpServer().requestHandler((request) -> {
			HttpServerResponse response = request.response().setChunked(true);
			response.write(answer).onComplete((written) -> request.connection().close());
		}).listen(0, StandInServer.HOST).toCompletionStage().toCompletableFuture().join().actualPort();
		return Target.of(new Address(StandInServer.HOST, port));
	}

	private static PromptMix.Request request() {
		return PromptMix.of("assistant", 1, 5, 5, 1).next();
	}

	private CallRecord call(Target... targets) {
		return ChatCaller.of(this.vertx)
			.call(List.of(targets), request())
			.toCompletionStage()
			.toCompletableFuture()
			.join();
	}

	@Test
	void shouldFindWholeAnswersWhole() {
		CallRecord call = call(engine());
		assertThat(call.end()).isEqualTo(CallRecord.End.WHOLE);
		assertThat(call.tokenNanos()).hasSize(5);
	}

	// The connection breaks in the middle of the answer, between two events or within
	// one. A caller that took the part for the whole would act on half an answer.
	@ParameterizedTest
	@ValueSource(strings = { "", "da", "data: [DO", "data: {\"choi", "data: {\"choices\":[]}" })
	void shouldSendAgainWhatWasCutOffAndCountIt(String rest) {
		CallRecord call = call(server("data: {\"choices\":[{\"delta\":{\"content\":\"half \"}}]}\n\n" + rest),
				engine());
		assertThat(call.end()).isEqualTo(CallRecord.End.WHOLE);
		assertThat(call.cutOffs()).isEqualTo(1);
		assertThat(call.resends()).isEqualTo(1);
	}

	// Nobody listens any more; nothing of the call was cut off.
	@Test
	void shouldNotCountARefusedConnectionAsCutOff() {
		CallRecord call = call(Target.of(new Address(StandInServer.HOST, 1)), engine());
		assertThat(call.end()).isEqualTo(CallRecord.End.WHOLE);
		assertThat(call.cutOffs()).isEqualTo(0);
		assertThat(call.resends()).isEqualTo(1);
	}

	@Test
	void shouldNoticeAnotherCallersAnswer() {
		String others = "data: {\"choices\":[{\"delta\":{\"content\":\"someone else's \"}}]}\n\ndata: [DONE]\n\n";
		assertThat(call(server(others)).end()).isEqualTo(CallRecord.End.WRONG);
	}

	@Test
	void shouldCountRefusals() {
		CallRecord call = ChatCaller.of(this.vertx)
			.call(List.of(engine()), PromptMix.of("unknown", 1, 5, 5, 1).next())
			.toCompletionStage()
			.toCompletableFuture()
			.join();
		assertThat(call.end()).isEqualTo(CallRecord.End.REFUSED);
		assertThat(call.status()).isEqualTo(404);
	}

	@Test
	void shouldEndOnceEveryAnswerIsIn() {
		Target engine = engine();
		CompletableFuture<JsonObject> enough = new CompletableFuture<>();
		OnlineReport report = OnlineReport.empty();
		OnlineLoad load = new OnlineLoad(this.vertx, PromptMix.of("assistant", 2, 2, 4, 1), Arrivals.of(500, 1),
				(number) -> {
					if (number == 50) {
						enough.complete(new JsonObject());
					}
					return OnlineLoad.Route.rotating("online", List.of(engine), number);
				}, report)
			.start();
		enough.join();
		load.stop().join();
		assertThat(report.total()).isAtLeast(51);
		assertThat(report.count(CallRecord.End.WHOLE)).isEqualTo(report.total());
	}

}
