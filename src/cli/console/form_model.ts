/**
 * Model of the forms, derived from the schema of the policy document so that the
 * forms have exactly the fields that the schema accepts.
 */
import type * as SchemaAST from 'effect/SchemaAST';
import {InvalidInputError} from '../../base/errors.js';
import {policySchema} from '../../version/policy_schema.js';

/** Kind of input control for a value. */
export type FieldInput =
  | {readonly kind: 'text'}
  | {readonly kind: 'number'}
  | {readonly kind: 'choice'; readonly options: readonly string[]}
  | {readonly kind: 'switch'}
  /** A field with only one valid value. */
  | {readonly kind: 'fixed'; readonly value: number | string};

/** A field with one value. */
export interface FieldModel {
  readonly kind: 'field';
  readonly name: string;
  /** Path in the schema, for example `services[].name`. */
  readonly path: string;
  readonly input: FieldInput;
  /** Accepted values, as the phrase that problems use. */
  readonly allowed: string;
}

/** A group of members. */
export interface GroupModel {
  readonly kind: 'group';
  readonly name: string;
  readonly path: string;
  readonly members: readonly FormModel[];
}

/** A list of items of the same shape, ordered by the operator. */
export interface ListModel {
  readonly kind: 'list';
  readonly name: string;
  readonly path: string;
  readonly allowed: string;
  readonly item: GroupModel;
}

/** Model of any part of a document. */
export type FormModel = FieldModel | GroupModel | ListModel;

/** Model of the whole policy document. */
export const policyFormModel: GroupModel = deriveGroup(
  policySchema.ast,
  '',
  '',
);

function deriveModel(
  ast: SchemaAST.AST,
  name: string,
  path: string,
): FormModel {
  switch (ast._tag) {
    case 'Objects':
      return deriveGroup(ast, name, path);
    case 'Arrays':
      return {
        kind: 'list',
        name,
        path,
        allowed: allowedOf(ast, path),
        item: deriveGroup(ast.rest[0], name, `${path}[]`),
      };
    default:
      return {
        kind: 'field',
        name,
        path,
        input: deriveInput(ast, path),
        allowed: allowedOf(ast, path),
      };
  }
}

function deriveGroup(
  ast: SchemaAST.AST | undefined,
  name: string,
  path: string,
): GroupModel {
  if (ast?._tag !== 'Objects') throw schemaError(path, ast?._tag);
  const members = ast.propertySignatures.map(member => {
    const memberName = String(member.name);
    const memberPath = path === '' ? memberName : `${path}.${memberName}`;
    return deriveModel(member.type, memberName, memberPath);
  });
  return {kind: 'group', name, path, members};
}

function deriveInput(ast: SchemaAST.AST, path: string): FieldInput {
  switch (ast._tag) {
    case 'String':
      return {kind: 'text'};
    case 'Number':
      return {kind: 'number'};
    case 'Boolean':
      return {kind: 'switch'};
    case 'Literal':
      return {kind: 'fixed', value: literalOf(ast, path)};
    case 'Union':
      return {
        kind: 'choice',
        options: ast.types.map(type => String(literalOf(type, path))),
      };
    default:
      throw schemaError(path, ast._tag);
  }
}

function literalOf(ast: SchemaAST.AST, path: string): number | string {
  const value = ast._tag === 'Literal' ? ast.literal : undefined;
  if (typeof value === 'string' || typeof value === 'number') return value;
  throw schemaError(path, ast._tag);
}

function allowedOf(ast: SchemaAST.AST, path: string): string {
  const description = ast.annotations?.['description'];
  if (typeof description === 'string') return description;
  throw schemaError(path, 'undescribed field');
}

/** Fails at startup for an unsupported kind of field, rather than omitting it. */
function schemaError(path: string, found = 'nothing') {
  const message = `The forms have no input for ${found} at ${path}.`;
  return new InvalidInputError(message, {props: {step: 'form-model'}});
}
