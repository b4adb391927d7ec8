/**
 * The known upstreams and their load, the choice of an upstream for a request, and how
 * online requests and batch items share slots. A slot is the capacity of an upstream to
 * run one request.
 */
package org.ragworthook.gateway.upstream;
