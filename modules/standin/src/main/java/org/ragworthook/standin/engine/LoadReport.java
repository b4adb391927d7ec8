package org.ragworthook.standin.engine;

/**
 * The load that an engine reports, as it was some time ago.
 *
 * @param running requests in slots
 * @param waiting requests without a slot
 * @param cacheUse share of the prefix cache in use, from 0 to 1
 * @param tokens tokens generated since the start
 */
record LoadReport(int running, int waiting, double cacheUse, long tokens) {

	/**
	 * Returns the report as a Prometheus page.
	 * @param model the model's name
	 * @return text in the exposition format
	 */
	String page(String model) {
		String label = "{model_name=\"" + model + "\"} ";
		return "# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running" + label + this.running
				+ "\n# TYPE vllm:num_requests_waiting gauge\nvllm:num_requests_waiting" + label + this.waiting
				+ "\n# TYPE vllm:kv_cache_usage_perc gauge\nvllm:kv_cache_usage_perc" + label + this.cacheUse
				+ "\n# TYPE vllm:generation_tokens counter\nvllm:generation_tokens_total" + label + this.tokens + "\n";
	}

}
