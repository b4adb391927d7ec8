/**
 * Routes, services and limits as the operator set them, and which version is in force.
 */
package org.ragworthook.gateway.route;
