import {registerScenarios} from './scenario_suite.js';

registerScenarios(1);
