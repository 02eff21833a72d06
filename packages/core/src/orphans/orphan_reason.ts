/**
 * Why a session is an orphan. `owner_forgotten`: no member of the owner's
 * address is known. `unknown_to_owner`: the owner itself reports it.
 */
export type OrphanReason =
  'owner_dead' | 'owner_restarted' | 'owner_forgotten' | 'unknown_to_owner';
