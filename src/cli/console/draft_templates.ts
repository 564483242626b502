/**
 * Templates for drafts and list items: the document of `policy new` without the
 * values that the operator has to provide.
 */
import type {DraftGroup} from './draft.js';
import {toDraft} from './draft.js';
import {formError} from './form_fields.js';
import type {FormModel, GroupModel} from './form_model.js';
import {policyFormModel} from './form_model.js';
import {createStartingPolicy} from '../starting_policy.js';

const TEMPLATE = createStartingPolicy({
  deployment: '',
  availabilityZones: [{name: '', region: ''}],
});

const EMPTY_ORGANISATION = {
  name: '',
  priority: 0,
  ratePerSecond: 0,
  burstCount: 0,
  apiKeys: [],
};

/** Fields without a default that is right for every item. */
const OPERATOR_CHOSEN_FIELDS: ReadonlySet<string> = new Set([
  'name',
  'path',
  'className',
  'method',
  'repeat',
]);

/** Creates a draft for a deployment without a previous document. */
export function createStartingDraft(): DraftGroup {
  return toDraft(policyFormModel, TEMPLATE);
}

/**
 * Creates an item for a list by form name, for example `services.0.routes`;
 * throws `InvalidInputError` if there is no such list.
 */
export function createNewItem(listName: string): DraftGroup {
  const segments = listName.split('.');
  const path = segments.filter(segment => !/^\d+$/.test(segment)).join('.');
  switch (path) {
    case 'availabilityZones':
      return createItemFromTemplate(path, TEMPLATE.availabilityZones[0]);
    case 'classes':
      return {
        ...createItemFromTemplate(path, TEMPLATE.classes[0]),
        reservedRatio: '0',
      };
    case 'services':
      return createItemFromTemplate(path, TEMPLATE.services[0]);
    case 'organisations':
      return createItemFromTemplate(path, EMPTY_ORGANISATION);
    case 'organisations.apiKeys':
      return createItemFromTemplate(path, {name: '', digest: ''});
    case 'services.routes':
      return createItemFromTemplate(path, TEMPLATE.services[0]?.routes[0]);
    default:
      throw formError(`there is no list ${listName}`);
  }
}

function createItemFromTemplate(
  path: string,
  template: object | undefined,
): DraftGroup {
  const model = findItemModel(path);
  if (template === undefined) throw formError(`no template for ${path}`);
  return clearOperatorChosenFields(model, toDraft(model, template));
}

function clearOperatorChosenFields(
  model: GroupModel,
  draft: DraftGroup,
): DraftGroup {
  return Object.fromEntries(
    model.members.map(member => {
      const node = draft[member.name] ?? '';
      if (OPERATOR_CHOSEN_FIELDS.has(member.name)) return [member.name, ''];
      // Keeps one empty item, since an empty list would be invalid.
      if (member.kind !== 'list' || !Array.isArray(node)) {
        return [member.name, node];
      }
      const items = (node as readonly DraftGroup[]).slice(0, 1);
      return [
        member.name,
        items.map(item => clearOperatorChosenFields(member.item, item)),
      ];
    }),
  );
}

function findItemModel(path: string): GroupModel {
  let group: GroupModel = policyFormModel;
  for (const segment of path.split('.')) {
    const member: FormModel | undefined = group.members.find(
      ({name}) => name === segment,
    );
    if (member?.kind !== 'list') throw formError(`there is no list ${path}`);
    group = member.item;
  }
  return group;
}
