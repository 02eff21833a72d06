/** Why an edit was refused without an append. */
export type EditRefusal =
  'edit_id_reused' | 'invalid' | 'table_not_loaded' | 'too_many_edits';
