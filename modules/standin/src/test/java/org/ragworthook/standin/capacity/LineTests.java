package org.ragworthook.standin.capacity;

import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LineTests {

	@Test
	void shouldGoThroughPointsOnALine() {
		Line line = Line.through(List.of(1, 2, 4), List.of(5.0, 7.0, 11.0));
		assertThat(line.slope()).isWithin(1e-9).of(2);
		assertThat(line.intercept()).isWithin(1e-9).of(3);
		assertThat(line.residual()).isWithin(1e-9).of(0);
	}

	@Test
	void shouldTellHowFarThePointsLieFromIt() {
		Line line = Line.through(List.of(0, 1, 2), List.of(0.0, 3.0, 0.0));
		assertThat(line.slope()).isWithin(1e-9).of(0);
		assertThat(line.residual()).isWithin(1e-9).of(2.0 / 3);
	}

}
