package org.ragworthook.standin.engine;

import java.util.Objects;

/**
 * One request in the engine, from its arrival to its last token.
 */
final class Generation {

	private final Prompt prompt;

	private final Sink sink;

	private final Continuation continuation;

	private int prefillLeft;

	private int cachedTokens;

	private int produced;

	private boolean cancelled;

	Generation(Prompt prompt, Sink sink) {
		this.prompt = Objects.requireNonNull(prompt, "prompt is null");
		this.sink = Objects.requireNonNull(sink, "sink is null");
		this.continuation = Continuation.of(prompt.text());
	}

	Prompt prompt() {
		return this.prompt;
	}

	int cachedTokens() {
		return this.cachedTokens;
	}

	int produced() {
		return this.produced;
	}

	boolean cancelled() {
		return this.cancelled;
	}

	void cancel() {
		this.cancelled = true;
	}

	/**
	 * Starts with a prompt of which some is in the cache.
	 * @param cachedCharacters characters from the start that are cached
	 */
	void admitted(int cachedCharacters) {
		int tokens = this.prompt.tokens();
		int characters = Math.max(1, this.prompt.text().length());
		this.cachedTokens = (int) ((long) tokens * cachedCharacters / characters);
		this.prefillLeft = Math.max(1, tokens - this.cachedTokens);
	}

	/**
	 * Takes a share of a step's prefill.
	 * @param budget prompt tokens that the step has left
	 * @return how many of them are used
	 */
	int prefill(int budget) {
		int used = Math.min(budget, this.prefillLeft);
		this.prefillLeft -= used;
		return used;
	}

	/**
	 * Ends a step: emits a token, if the prompt is through.
	 * @return whether the request is finished
	 */
	boolean step() {
		if (this.prefillLeft > 0) {
			return false;
		}
		if (this.produced < this.prompt.maxTokens() && (this.prompt.ignoreEnd() || !this.continuation.ends())) {
			this.produced++;
			this.sink.token(this.continuation.next());
		}
		if (!this.prompt.ignoreEnd() && this.continuation.ends()) {
			this.sink.finished("stop", this);
			return true;
		}
		if (this.produced >= this.prompt.maxTokens()) {
			this.sink.finished("length", this);
			return true;
		}
		return false;
	}

	/**
	 * Takes what a request generates.
	 */
	interface Sink {

		/**
		 * Takes a token.
		 * @param text its text
		 */
		void token(String text);

		/**
		 * Is told that the request is finished.
		 * @param reason {@code stop} or {@code length}
		 * @param generation the request
		 */
		void finished(String reason, Generation generation);

	}

}
