package org.ragworthook.gateway.online;

import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;

import io.vertx.core.Vertx;
import org.ragworthook.gateway.demand.EntryPressure;
import org.ragworthook.gateway.dialect.JobFormat;
import org.ragworthook.gateway.job.JobReader;
import org.ragworthook.gateway.job.JobStore;

/**
 * Creates a {@link Frontend} with the components that it uses.
 */
public final class FrontendFactory {

	private FrontendFactory() {
	}

	/**
	 * Creates a front end that does not listen yet.
	 * @param vertx runs the HTTP server
	 * @param context the components and values that request handling uses
	 * @param access authenticates callers and enforces quotas
	 * @param store stores batch jobs
	 * @param reader reads batch jobs and their results
	 * @param format the format of requests about batch jobs
	 * @param loop the event loop
	 * @param storeUp returns whether the platform's store answers
	 * @param backlog the waiting tokens of batch jobs
	 * @param pressure tells whether this process is behind, and what it refuses then
	 * @return the front end
	 */
	public static Frontend of(Vertx vertx, OnlineContext context, CallerAccess access, JobStore store, JobReader reader,
			JobFormat format, Executor loop, BooleanSupplier storeUp, Backlog backlog, EntryPressure pressure) {
		JobAdmission admission = new JobAdmission(store, new BacklogLimit(context.ticker()), backlog, context.ticker(),
				context.timers(), loop);
		JobRequestHandler jobs = new JobRequestHandler(store, reader, format, admission, loop,
				System::currentTimeMillis);
		return Frontend.of(vertx, context, access, jobs, new StartupQueue(context.timers(), storeUp), pressure);
	}

}
