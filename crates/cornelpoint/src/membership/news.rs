use std::collections::VecDeque;

use super::member::Member;
use crate::name::InstanceId;

/// Most words of news that wait to be sent on.
const NEWS_LIMIT: usize = 256;

#[derive(Clone, Debug)]
struct Item {
    member: Member,
    repeats_left: u32,
}

/// News that still has to be sent on, the least repeated first.
#[derive(Clone, Debug, Default)]
pub(super) struct News {
    items: VecDeque<Item>,
}

impl News {
    pub(super) fn add(&mut self, member: Member, repeats: u32) {
        self.items
            .retain(|item| item.member.instance != member.instance);
        if self.items.len() == NEWS_LIMIT {
            self.items.pop_back();
        }
        self.items.push_front(Item {
            member,
            repeats_left: repeats,
        });
    }

    pub(super) fn take(&mut self, count: usize, except: Option<&InstanceId>) -> Vec<Member> {
        let mut taken = Vec::new();
        for _ in 0..self.items.len() {
            let Some(mut item) = self.items.pop_front() else {
                break;
            };
            let wanted = taken.len() < count && except != Some(&item.member.instance);
            if wanted {
                taken.push(item.member.clone());
                item.repeats_left -= 1;
            }
            if item.repeats_left > 0 {
                self.items.push_back(item);
            }
        }
        taken
    }
}
