/**
 * Central assignment of slots to online requests while slots are scarce. For each
 * service, one process at a time is the dispatcher and assigns slots to the requests of
 * all entries.
 * <p>
 * Entries that choose upstreams themselves know the requests of other entries only 0.1 s
 * late. That does no harm while half of the slots are free. When nearly all are taken,
 * requests wait in the queue of one upstream, in order of arrival, while a slot is free
 * at another. The dispatcher learns of each start and end of a request within a few
 * milliseconds, keeps requests without a slot in one queue, and serves first those that
 * can still meet their latency target. Its answers are advisory: an entry that gets no
 * answer chooses an upstream itself, and two processes that both act as dispatcher
 * increase waiting times but cause no other harm.
 */
package org.ragworthook.gateway.dispatch;
