package org.ragworthook.standin.service;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragworthook.standin.ControlClient;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link PlainService} and {@link WeightStore}.
 */
class PlainServiceTests {

	private Vertx vertx;

	@BeforeEach
	void start() {
		this.vertx = Vertx.vertx();
	}

	@AfterEach
	void stop() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	private ControlClient service() {
		return new ControlClient(
				new PlainService(0, 0).deploy(this.vertx).toCompletionStage().toCompletableFuture().join());
	}

	@Test
	void shouldCountExecutionsByKey() {
		ControlClient service = service();
		service.post("/bookings", new JsonObject().put("key", "party-1"));
		service.post("/bookings", new JsonObject().put("key", "party-2"));
		service.post("/bookings", new JsonObject().put("key", "party-1"));
		assertThat(service.get("/control/executions")).isEqualTo(new JsonObject().put("party-1", 2).put("party-2", 1));
	}

	// The service books and its answer is lost. Sent again, the call would book twice.
	@Test
	void shouldCountAnExecutionWhoseAnswerIsLost() {
		ControlClient service = service();
		service.post("/control/faults", new JsonObject().put("loseNext", 1));
		boolean lost = false;
		try {
			service.post("/bookings", new JsonObject().put("key", "party-1"));
		}
		catch (IllegalStateException ex) {
			lost = true;
		}
		assertThat(lost).isTrue();
		assertThat(service.get("/control/executions").getInteger("party-1")).isEqualTo(1);
	}

	@Test
	void shouldServeWeightsAtARate() {
		WeightStore store = new WeightStore(0, 0, 10);
		ControlClient weights = new ControlClient(
				store.deploy(this.vertx).toCompletionStage().toCompletableFuture().join());
		assertThat(weights.get("/weights/assistant/1").getString("error")).isEqualTo("too many downloads");
		assertThat(weights.get("/control/counts").getInteger("refused")).isEqualTo(1);
	}

}
