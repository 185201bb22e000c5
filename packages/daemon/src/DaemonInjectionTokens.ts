/** Names under which Nest injects the daemon's parts. Compiled without metadata, so by name. */
export const CALLER_GATEWAY = Symbol('gateway');
export const ADMIN_GATEWAY = Symbol('admin-gateway');
