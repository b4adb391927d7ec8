package org.ragworthook.daemon.engine;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link AnswerMemory}.
 */
class AnswerMemoryTests {

	private static final int ANSWER_BYTES = 10_000_000;

	/** Guards against one answer that takes up the memory of all others. */
	@Test
	void shouldLimitOneAnswer() {
		AnswerMemory memory = AnswerMemory.of(Long.MAX_VALUE);
		AnswerMemory.Held held = memory.open();
		assertThat(held.add(AnswerMemory.MAX_ANSWER_BYTES)).isTrue();
		assertThat(held.add(1)).isFalse();
		assertThat(memory.open().add(AnswerMemory.MAX_ANSWER_BYTES)).isTrue();
	}

	/** Guards against many answers without end at once that take up the whole heap. */
	@Test
	void shouldLimitAllAnswers() {
		AnswerMemory memory = AnswerMemory.of(2 * ANSWER_BYTES);
		AnswerMemory.Held first = memory.open();
		assertThat(first.add(ANSWER_BYTES)).isTrue();
		assertThat(memory.open().add(ANSWER_BYTES)).isTrue();
		assertThat(memory.open().add(1)).isFalse();
		first.close();
		first.close();
		assertThat(memory.open().add(ANSWER_BYTES - 1)).isTrue();
		assertThat(memory.bytes()).isEqualTo(2 * ANSWER_BYTES);
	}

	@Test
	void shouldHoldNothingForAnAnswerThatHasEnded() {
		AnswerMemory memory = AnswerMemory.of(ANSWER_BYTES);
		AnswerMemory.Held held = memory.open();
		held.close();
		assertThat(held.add(1)).isFalse();
		assertThat(memory.bytes()).isEqualTo(0);
	}

}
