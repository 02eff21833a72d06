/**
 * Why a session is an orphan. `owner_forgotten`: no member of that address
 * is known, or no longer. `unknown_to_owner`: told by the owner itself.
 */
export type OrphanReason =
  'owner_dead' | 'owner_restarted' | 'owner_forgotten' | 'unknown_to_owner';
