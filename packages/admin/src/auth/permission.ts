import type {OperatorRole} from './operator_role.js';

/** Permission that a route requires of its caller. */
export type Permission = 'read' | 'operate' | 'edit';

const PERMISSIONS: Record<OperatorRole, readonly Permission[]> = {
  reader: ['read'],
  operator: ['read', 'operate'],
  editor: ['read', 'operate', 'edit'],
};

/** Whether a role includes a permission. */
export function permits(role: OperatorRole, permission: Permission): boolean {
  return PERMISSIONS[role].includes(permission);
}
