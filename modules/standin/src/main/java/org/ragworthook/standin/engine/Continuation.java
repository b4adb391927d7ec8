package org.ragworthook.standin.engine;

import java.util.List;
import java.util.Objects;

/**
 * Generates text one token at a time. Each token follows from all text before it, prompt
 * and generated text alike. So a prompt has one answer, and generation that goes on from
 * a part of the answer yields exactly the rest.
 */
public final class Continuation {

	/** Tokens generated when a request sets no limit and the text does not end before. */
	public static final int DEFAULT_MAX_TOKENS = 64;

	private static final List<String> WORDS = List.of("width", "drop", "rail", "hem", "lining", "bracket", "pleat",
			"valance", "fabric", "seam", "hook", "track", "sill", "jamb", "left", "right", "clown", "piñata", "magic",
			"music", "hall", "garden", "noon", "evening", "cake", "games", "costume", "stage", "guests", "table",
			"check", "again");

	private static final long OFFSET = 0xcbf29ce484222325L;

	private static final long PRIME = 0x100000001b3L;

	private static final String END = "again ";

	private long state = OFFSET;

	private boolean ended;

	private Continuation(String text) {
		absorb(Objects.requireNonNull(text, "text is null"));
	}

	/**
	 * Returns the continuation of a text.
	 * @param text everything so far
	 * @return a generator of what follows
	 */
	public static Continuation of(String text) {
		return new Continuation(text);
	}

	/**
	 * Returns the whole answer to a prompt.
	 * @param prompt the prompt as the engine renders it
	 * @param maxTokens the most tokens to generate
	 * @param ignoreEnd whether to go on where the text would end
	 * @return the generated text
	 */
	public static String answer(String prompt, int maxTokens, boolean ignoreEnd) {
		Continuation continuation = of(prompt);
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < maxTokens && (ignoreEnd || !continuation.ends()); i++) {
			text.append(continuation.next());
		}
		return text.toString();
	}

	/**
	 * Tells whether the text ends here.
	 * @return whether no further token follows of itself
	 */
	public boolean ends() {
		return this.ended;
	}

	/**
	 * Generates the next token.
	 * @return a word with a blank after it
	 */
	public String next() {
		int index = (int) Long.remainderUnsigned(mixed() >>> 17, WORDS.size());
		String token = WORDS.get(index) + " ";
		absorb(token);
		return token;
	}

	private void absorb(String text) {
		long hash = this.state;
		for (int i = 0; i < text.length(); i++) {
			hash = (hash ^ text.charAt(i)) * PRIME;
		}
		this.state = hash;
		this.ended = text.endsWith(END);
	}

	private long mixed() {
		long hash = this.state;
		hash = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
		hash = (hash ^ (hash >>> 27)) * 0x94d049bb133111ebL;
		return hash ^ (hash >>> 31);
	}

}
