package org.ragworthook.daemon.batch;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.JobException;
import org.ragworthook.core.job.FileId;
import org.ragworthook.core.job.JobId;
import org.ragworthook.daemon.entry.RequestReader;
import org.ragworthook.daemon.http.ErrorResponses;

/**
 * One call of an account to files or jobs.
 */
final class BatchCall {

	private final RoutingContext routing;

	private final ErrorResponses errors;

	private final String account;

	private final Context context = Vertx.currentContext();

	BatchCall(RoutingContext routing, ErrorResponses errors, String account) {
		this.routing = Objects.requireNonNull(routing, "routing is null");
		this.errors = Objects.requireNonNull(errors, "errors is null");
		this.account = Objects.requireNonNull(account, "account is null");
	}

	String account() {
		return this.account;
	}

	HttpServerRequest request() {
		return this.routing.request();
	}

	RoutingContext routing() {
		return this.routing;
	}

	Optional<String> idempotencyKey() {
		return Optional.ofNullable(request().getHeader(RequestReader.IDEMPOTENCY_KEY_HEADER));
	}

	FileId fileId() {
		String id = this.routing.pathParam("id");
		return FileId.parse(id).orElseThrow(() -> new JobException(ErrorCode.FILE_NOT_FOUND, "no file " + id));
	}

	JobId jobId() {
		String id = this.routing.pathParam("id");
		return JobId.parse(id).orElseThrow(() -> new JobException(ErrorCode.JOB_NOT_FOUND, "no job " + id));
	}

	/**
	 * Runs a task on the event loop of this call.
	 * @param task the task
	 */
	void onLoop(Runnable task) {
		this.context.runOnContext((ignored) -> task.run());
	}

	/**
	 * Answers with an object once it is there.
	 * @param future the object, or what went wrong
	 */
	void answer(CompletableFuture<JsonObject> future) {
		future.whenComplete((object, failure) -> onLoop(() -> {
			if (failure != null) {
				this.errors.write(this.routing, failure);
			}
			else {
				this.routing.response().putHeader("Content-Type", "application/json").end(object.encode());
			}
		}));
	}

	void fail(Throwable failure) {
		onLoop(() -> this.errors.write(this.routing, failure));
	}

	/**
	 * Returns a page of a list, by the parameters {@code limit} and {@code after}.
	 * @param all the objects, each with an id
	 * @param standard how many are on a page that does not say
	 * @return the page
	 */
	JsonObject page(List<JsonObject> all, int standard) {
		String after = request().getParam("after", "");
		int limit = limit(standard);
		int first = 0;
		for (int position = 0; position < all.size(); position++) {
			if (all.get(position).getString("id").equals(after)) {
				first = position + 1;
			}
		}
		List<JsonObject> page = all.subList(first, Math.min(all.size(), first + limit));
		JsonObject list = new JsonObject().put("object", "list").put("data", new JsonArray(page));
		if (!page.isEmpty()) {
			list.put("first_id", page.get(0).getString("id")).put("last_id", page.get(page.size() - 1).getString("id"));
		}
		return list.put("has_more", first + page.size() < all.size());
	}

	private int limit(int standard) {
		try {
			return Math.max(1, Integer.parseInt(request().getParam("limit", String.valueOf(standard))));
		}
		catch (NumberFormatException ex) {
			throw new JobException(ErrorCode.JOB_MALFORMED, "limit is no number", ex);
		}
	}

}
