package org.ragworthook.gateway.online;

import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;

import io.vertx.core.Vertx;
import org.ragworthook.gateway.dialect.JobFormat;
import org.ragworthook.gateway.job.JobReader;
import org.ragworthook.gateway.job.JobStore;

/**
 * Puts the parts that serve callers together.
 */
public final class FrontendFactory {

	private FrontendFactory() {
	}

	/**
	 * Makes a front end that does not listen yet.
	 * @param vertx runs it
	 * @param context what the path of a request uses
	 * @param access lets callers in
	 * @param store the batch jobs
	 * @param reader reads them
	 * @param format the format of the calls about them
	 * @param loop the event loop
	 * @param storeAnswers tells whether the platform's store answers
	 * @param backlog tells what waits of batch jobs
	 * @return the front end
	 */
	public static Frontend of(Vertx vertx, OnlineContext context, CallerAccess access, JobStore store, JobReader reader,
			JobFormat format, Executor loop, BooleanSupplier storeAnswers, Backlog backlog) {
		JobAdmission admission = new JobAdmission(store, new JobQuota(context.ticker()), backlog, context.ticker(),
				context.timers(), loop);
		JobDesk desk = new JobDesk(store, reader, format, admission, loop, System::currentTimeMillis);
		return Frontend.of(vertx, context, access, desk, new EarlyRequests(context.timers(), storeAnswers));
	}

}
