package org.ragworthook.daemon.batch;

import java.util.Objects;

import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.ragworthook.daemon.entry.RequestReader;
import org.ragworthook.daemon.http.ErrorResponses;

/**
 * The callers' interface to files and batch jobs, as the OpenAI API shapes it.
 */
final class BatchRoutes {

	private static final int REQUEST_BYTES = 64 * 1024;

	private final RequestReader reader;

	private final ErrorResponses errors;

	private final FileRoutes files;

	private final JobRoutes jobs;

	BatchRoutes(RequestReader reader, ErrorResponses errors, FileRoutes files, JobRoutes jobs) {
		this.reader = Objects.requireNonNull(reader, "reader is null");
		this.errors = Objects.requireNonNull(errors, "errors is null");
		this.files = Objects.requireNonNull(files, "files is null");
		this.jobs = Objects.requireNonNull(jobs, "jobs is null");
	}

	void mount(Router router) {
		router.post("/v1/files").handler((routing) -> run(routing, this.files::upload));
		router.get("/v1/files").handler((routing) -> run(routing, this.files::list));
		router.get("/v1/files/:id").handler((routing) -> run(routing, this.files::read));
		router.get("/v1/files/:id/content").handler((routing) -> run(routing, this.files::content));
		router.delete("/v1/files/:id").handler((routing) -> run(routing, this.files::delete));
		BodyHandler body = BodyHandler.create(false).setBodyLimit(REQUEST_BYTES);
		router.post("/v1/batches").handler(body).handler((routing) -> run(routing, this.jobs::create));
		router.get("/v1/batches").handler((routing) -> run(routing, this.jobs::list));
		router.get("/v1/batches/:id").handler((routing) -> run(routing, this.jobs::read));
		router.post("/v1/batches/:id/cancel").handler((routing) -> run(routing, this.jobs::cancel));
	}

	private void run(RoutingContext routing, Handling handling) {
		String account = this.reader.account(routing.request()).name();
		handling.handle(new BatchCall(routing, this.errors, account));
	}

	/**
	 * Handles a call of an account.
	 */
	private interface Handling {

		void handle(BatchCall call);

	}

}
