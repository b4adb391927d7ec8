/**
 * One process at a time, the dispatcher, gives out the slots of a service to the online
 * requests of all entries while they are scarce.
 * <p>
 * Entries that choose for themselves know what the others have sent a tenth of a second
 * late. While half of the slots are free that does no harm. When nearly all are taken,
 * requests wait in the queue of one engine, in order of arrival, while a slot is free at
 * another. The dispatcher hears every start and end within a few milliseconds, keeps the
 * requests for which no slot is free in one line, and serves first those that can still
 * be in time. Its word is advice: an entry that gets no answer chooses for itself, and
 * two processes that both take themselves for the dispatcher cost some waiting, no more.
 */
package org.ragworthook.gateway.dispatch;
