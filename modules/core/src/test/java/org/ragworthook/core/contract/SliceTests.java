package org.ragworthook.core.contract;

import java.util.Optional;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class SliceTests {

	@Test
	void shouldSendTheVersionOnlyWhenTheServiceIsNotConcerned() {
		SliceEncoder sender = SliceEncoder.of("desk");
		assertThat(sender.next(Contract.parse(1, Texts.desk())).flatMap(Slice::section)).isPresent();
		assertThat(sender.next(Contract.parse(2, Texts.weight(3))).orElseThrow().section()).isEmpty();
		assertThat(sender.next(Contract.parse(3, Texts.deskVersion("v2"))).flatMap(Slice::section)).isPresent();
		assertThat(sender.next(Contract.parse(2, Texts.weight(3)))).isEmpty();
	}

	// A change is made and taken back. One entry tells of all three versions, a slower
	// one
	// of the first and the last, between which it saw no difference. Its "unchanged" must
	// not be read as "as in the middle version", or the sidecar would run the model that
	// was rolled back.
	@Test
	void shouldReadUnchangedAgainstTheSameLink() {
		SliceEncoder quick = SliceEncoder.of("desk");
		SliceEncoder slow = SliceEncoder.of("desk");
		ActiveSlice inForce = ActiveSlice.empty();
		ActiveSlice.Receiver fromQuick = inForce.receiver();
		ActiveSlice.Receiver fromSlow = inForce.receiver();
		Contract first = Contract.parse(1, Texts.desk());
		Contract middle = Contract.parse(2, Texts.deskVersion("v2"));
		Contract last = Contract.parse(3, Texts.desk());
		assertThat(fromQuick.take(quick.next(first).orElseThrow())).isTrue();
		assertThat(fromSlow.take(slow.next(first).orElseThrow())).isFalse();
		assertThat(fromQuick.take(quick.next(middle).orElseThrow())).isTrue();
		assertThat(version(inForce)).hasValue("v2");
		assertThat(fromSlow.take(slow.next(last).orElseThrow())).isTrue();
		assertThat(version(inForce)).hasValue("v1");
		assertThat(fromQuick.take(quick.next(last).orElseThrow())).isFalse();
		assertThat(inForce.version()).isEqualTo(3);
	}

	private static Optional<String> version(ActiveSlice inForce) {
		return inForce.service().map((service) -> service.models().get(0).version());
	}

}
